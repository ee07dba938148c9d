"""Message routing of a node."""

import random

import pytest

from cuminstack import wire
from cuminstack.admission import Admission
from cuminstack.claims import Claims, ClaimView
from cuminstack.core import Instance, InstanceId, ZoneName
from cuminstack.membership import Timing
from cuminstack.node import Node, NodeOptions, NodeParts, UnroutedMessage
from cuminstack.register import Register, starting_state
from cuminstack.slots import make_policy
from cuminstack.spread import Spread

#: Packages whose messages the node handles.
PACKAGES = (
    'claims',
    'endpoints',
    'jobs',
    'membership',
    'register',
    'slots',
    'spread',
)


def make_node(policy: str = 'leases') -> Node:
    own = Instance(
        instance=InstanceId('a1'),
        zone=ZoneName('a'),
        incarnation=1,
        peer_address='127.0.0.1:1',
        endpoint_address='127.0.0.1:2',
        replica=True,
    )
    replicas = (own.instance,)
    state = starting_state(replicas, incarnation=1, record=None)
    register = Register(
        own.instance,
        replicas,
        incarnation=1,
        chance=random.Random(1),
        state=state,  # type: ignore[arg-type]
    )
    parts = NodeParts(
        peers=(),
        policy=make_policy(policy, own, seed=1),
        register=register,
        spread=Spread(own.instance, own.zone, replicas),
        claims=Claims(own, ClaimView(1, (own,)), now=0),
        admission=Admission(chance=random.Random(1)),
    )
    options = NodeOptions(
        endpoint_lease=5,
        outcome_lifetime=600,
        default_deadline=60,
        max_running_jobs=100,
        timing=Timing(),
    )
    return Node(own, parts=parts, options=options)


class TestRouting:
    """Every message that a peer may send has a handler."""

    @pytest.mark.parametrize('part', PACKAGES)
    def test_each_message_type_has_a_handler(self, part: str) -> None:
        message_types = wire.messages_of(part)
        assert message_types
        handled = make_node().handled_messages
        assert [each for each in message_types if each not in handled] == []

    def test_message_without_handler_raises(self) -> None:
        with pytest.raises(UnroutedMessage):
            make_node().receive(InstanceId('b1'), object(), now=1)

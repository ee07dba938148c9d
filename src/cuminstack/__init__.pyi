from cuminstack.admission import Admission, AdmissionRequest, RunTimes
from cuminstack.claims import Claims, ClaimView
from cuminstack.core import (
    EndpointRecord,
    Instance,
    JobId,
    Needs,
    Send,
    ServiceRef,
    TaskId,
)
from cuminstack.fairness import Demand, FairQueue, Share
from cuminstack.health import EndpointHealth
from cuminstack.membership import Membership, Timing
from cuminstack.register import Register
from cuminstack.sheet import Sheet, SheetFaults
from cuminstack.sheet import parse as parse_sheet
from cuminstack.slots import LeasePolicy, Policy, QueuedTask
from cuminstack.spread import Spread

__all__ = (
    'Admission',
    'AdmissionRequest',
    'ClaimView',
    'Claims',
    'Demand',
    'EndpointHealth',
    'EndpointRecord',
    'FairQueue',
    'Instance',
    'JobId',
    'LeasePolicy',
    'Membership',
    'Needs',
    'Policy',
    'QueuedTask',
    'Register',
    'RunTimes',
    'Send',
    'ServiceRef',
    'Share',
    'Sheet',
    'SheetFaults',
    'Spread',
    'TaskId',
    'Timing',
    'parse_sheet',
)

"""Effects of a changed sheet on jobs."""

from cuminstack.core import InstanceId, JobId, JobKey
from cuminstack.jobs import Complete, Outcome, RefusalReason, Refused
from fakes_deployment import SERVICE, Deployment, read_sheet

FIRST = InstanceId('i0')
TASKS = 60
SHEET_WITHOUT_MEMBER = b'sheet,2,1\nmember,haslinger,1,0,100\n'
SHEET_WITHOUT_SERVICE = b'sheet,2,1\nmember,tkemali,1,0,100\n'


def outcomes_of(deployment: Deployment, key: str) -> list[Outcome]:
    job = JobId(SERVICE.member, JobKey(key))
    return [outcome for ended, outcome in deployment.ended if ended == job]


class TestRemoval:
    """Jobs admitted before a removal still complete; new ones are refused."""

    def test_job_in_progress_of_a_removed_member(self) -> None:
        deployment = Deployment(1, failure_rate=0)
        deployment.put_sheet()
        deployment.submit('early', FIRST, idempotent=False, tasks=TASKS)
        deployment.run(0.1)
        assert not outcomes_of(deployment, 'early')
        deployment.change_sheet(read_sheet(SHEET_WITHOUT_MEMBER))
        deployment.run(15)
        early = outcomes_of(deployment, 'early')
        assert [type(each) for each in early] == [Complete]
        deployment.submit('late', FIRST, idempotent=False)
        late = outcomes_of(deployment, 'late')
        assert late == [Refused(RefusalReason.unknown_member)]

    def test_removed_service(self) -> None:
        deployment = Deployment(2)
        deployment.put_sheet()
        deployment.change_sheet(read_sheet(SHEET_WITHOUT_SERVICE))
        for name in deployment.processes:
            deployment.submit(f'late-{name}', name, idempotent=True)
            late = outcomes_of(deployment, f'late-{name}')
            assert late == [Refused(RefusalReason.unknown_service)]

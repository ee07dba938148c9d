"""Fair queueing: weighted shares of members, and job order within a member."""

from cuminstack.fairness._orders import (
    AGEING_RATE,
    JobOrder,
    first_come,
    get_job_order,
    job_order,
    job_order_names,
    least_attained,
    least_expected,
)
from cuminstack.fairness._queue import FairQueue
from cuminstack.fairness._records import Demand, Share, Turn

__all__ = (
    'AGEING_RATE',
    'Demand',
    'FairQueue',
    'JobOrder',
    'Share',
    'Turn',
    'first_come',
    'job_order',
    'job_order_names',
    'least_attained',
    'least_expected',
    'get_job_order',
)

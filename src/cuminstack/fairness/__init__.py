"""Who is next: shares between members, and order between a member's jobs."""

from cuminstack.fairness._orders import (
    AGEING_RATE,
    JobOrder,
    first_come,
    job_order,
    job_order_names,
    least_attained,
    least_expected,
    make_job_order,
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
    'make_job_order',
)

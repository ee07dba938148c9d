"""Histograms and counters per service, and counters of messages."""

from cuminstack.metrics._exposition import CONTENT_TYPE, Exposition
from cuminstack.metrics._histograms import (
    MAX_SECONDS,
    RATIO_SCALE,
    BadHistogram,
    HistogramSummary,
)
from cuminstack.metrics._kinds import (
    Direction,
    Measure,
    MessageKind,
    Tally,
    WasteCause,
    message_kind,
)
from cuminstack.metrics._metrics import Metrics
from cuminstack.metrics._snapshot import (
    HistogramSnapshot,
    MessageCount,
    MetricsSnapshot,
    TallyCount,
    WasteCount,
    merge_snapshots,
    summarise,
)

__all__ = (
    'CONTENT_TYPE',
    'MAX_SECONDS',
    'RATIO_SCALE',
    'BadHistogram',
    'Direction',
    'Exposition',
    'HistogramSnapshot',
    'HistogramSummary',
    'Measure',
    'MessageCount',
    'MessageKind',
    'Metrics',
    'MetricsSnapshot',
    'Tally',
    'TallyCount',
    'WasteCause',
    'WasteCount',
    'merge_snapshots',
    'message_kind',
    'summarise',
)

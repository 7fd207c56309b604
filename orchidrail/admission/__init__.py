"""Admission of new jobs by a forecast of their start; decides without I/O."""

from orchidrail.admission.accuracy import ForecastAccuracy
from orchidrail.admission.control import AdmissionControl
from orchidrail.admission.digest import ReceivedDigest, decode_digest
from orchidrail.admission.durations import RatioRange, TaskDurations
from orchidrail.admission.forecast import Forecast, TenantRoom
from orchidrail.admission.load_tracker import LoadSources, LoadTracker
from orchidrail.admission.rejections import Rejection, check_known_job
from orchidrail.admission.sources import AdmissionSources, Standing

__all__ = (
    'AdmissionControl',
    'AdmissionSources',
    'Forecast',
    'ForecastAccuracy',
    'LoadSources',
    'LoadTracker',
    'RatioRange',
    'ReceivedDigest',
    'Rejection',
    'Standing',
    'TaskDurations',
    'TenantRoom',
    'check_known_job',
    'decode_digest',
)

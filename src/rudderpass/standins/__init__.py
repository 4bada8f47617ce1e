"""Stand-ins for engines, desks and the platform, for the demo, benchmarks and tests."""

from rudderpass.standins._answers import (
    AnswerPlan as AnswerPlan,
    mark_prompt as mark_prompt,
    plan_answer as plan_answer,
)
from rudderpass.standins._desk import (
    StandInDesk as StandInDesk,
    booking_number as booking_number,
)
from rudderpass.standins._engine import (
    EngineSpeed as EngineSpeed,
    StandInEngine as StandInEngine,
)
from rudderpass.standins._platform import (
    LogFault as LogFault,
    StandInHostList as StandInHostList,
    StandInLog as StandInLog,
    StandInWeightStore as StandInWeightStore,
)

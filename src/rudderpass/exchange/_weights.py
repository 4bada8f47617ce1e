"""Weights used to score upstreams.

All costs are in seconds of a request's delay beyond its latency target. Duplicated work
is priced on the assumption that a second of delay costs the caller of a long prompt
about the value of its entire response. An engine reads a prompt (prefill) before it
generates the response.
"""

from __future__ import annotations

PREFILL_TOKENS_PER_SECOND = 40_000.0
"""Prefill speed of an idle engine: about that of a model with 70 billion parameters on
four current accelerators. Other speeds are learned as the upstream's slowness."""

REREAD_SECONDS_PER_TOKEN = 75e-6
"""Cost of a token that is read again although some upstream read it recently, in
addition to the time to read it: three times that time, since the engine's other
requests are delayed as well."""

COPY_SECONDS_PER_TOKEN = 28e-6
"""Cost of a token that is copied from another upstream's cache: about the time to read
it, since a copy uses the links of two engines and may fail."""

COPY_SETUP_SECONDS = 0.01
MIN_COPY_TOKENS = 1000
"""Fewer tokens can be read in the time that it takes to set up a copy."""

SECONDS_PER_RUNNING_REQUEST = 0.004
"""Expected delay of an engine's next responses per request in flight: about one step of
its batch. This exceeds the growth of a step in order to spread requests over equal
engines: with 0.001, six days of a deployment, with two seeds each, earned 0.738 of the
value of all responses instead of 0.740."""

FAILURE_SECONDS = 1.5
"""Cost of a failed exchange: about the latency target of a model request."""

OTHER_ZONE_SECONDS = 0.01
OTHER_ZONE_SECONDS_PER_KB = 0.004
"""Cost of sending to another availability zone, in addition to its delay: ties go to
the own zone, and 100 kB outweigh a delay that nobody notices."""

OTHER_REGION_SECONDS = 0.1
OTHER_REGION_SECONDS_PER_KB = 4 * OTHER_ZONE_SECONDS_PER_KB
"""The same for another region, where each byte costs four times as much. The constant
part is ten times as high: hosts know the loads in other regions late, so that a small
difference would send all of them there and back."""

OTHER_REGION_COPY_SETUP_SECONDS = 0.12
"""Additional time to set up a copy between regions: two round trips of 60 ms."""

RESPONSE_BYTES_PER_TOKEN = 20
"""An event with four tokens takes about 75 bytes: an id and some text per token."""

PREFERRED_BONUS_SECONDS = 0.03
"""Bonus of the upstream that all hosts prefer for a prompt, so that hosts that have not
exchanged any state agree on where to send a new prompt."""

MIN_TARGET_SECONDS = 0.05
"""Lower bound of the latency target in the delay cost, which keeps the cost bounded."""

LINEAR_DELAY_WEIGHT = 0.3
"""Cost of a second of an engine's time that makes no request late: it still delays
later requests."""

MISPLACEMENT_SECONDS = 1.6
"""Cost of sending a tight stream to an upstream that prefills long prompts, or a long
prompt to an upstream that is reserved for tight streams. The cost is high because such
a request makes dozens of streams late, mostly of the more urgent tier: on days with
bursts, pauses made 0.12 of the tight streams late with 1.0, and 0.08 with 1.6."""

MIN_PREFILL_TOKENS = 1000
"""Reading fewer tokens takes less than one chunk and does not count as a prefill."""

TIGHT_SLOT_SHARE = 0.5
TIGHT_PREFILL_SHARE = 0.4
"""Maximum share of an upstream's slots, and of its time, for tight streams and their
own prompts, since these stall each other too."""

OTHER_SLOT_SHARE = 0.75
OTHER_PREFILL_SHARE = 0.6
"""The same for all other requests, whose prompts then wait for about one other."""

MIN_RESERVED_UPSTREAMS = 0.4
"""Minimum need for reserved upstreams, in upstreams, at which one is reserved. When two
of five upstreams were left, reserving one for a fifth of the load delayed all other
requests: on such a day, 0.32 of the value of all responses was earned with one
reserved, and 0.48 with none."""

MIN_DEMAND_UPSTREAMS = 0.1
"""Total demand, in upstreams, below which the share of tight streams is not
meaningful."""

TIGHT_PREFERRED_BONUS_SECONDS = 0.06
"""Additional bonus of the preferred upstream for tight streams, which spreads them over
the reserved upstreams by prompt rather than by reported loads that are a second old."""

STALLED_STREAM_SECONDS = 2.0
"""Cost of a stream whose pauses become too long. It exceeds the cost of a misplacement,
so that a tight stream prefers an upstream that may receive long prompts to one that is
prefilling a prompt now."""

MIN_STALL_TOKENS = 4500
FULL_STALL_TOKENS = 12000
"""Reading fewer tokens than the minimum takes two steps of 2,048 tokens, which no
stream notices. From there the cost of stalling them grows linearly to its maximum."""

MAX_STALLED_STREAMS = 1.5
FULL_STALL_STREAMS = 4.0
"""A prompt that stalls at least ``FULL_STALL_STREAMS`` streams is charged for
``MAX_STALLED_STREAMS`` of them, and proportionally less for fewer streams: one or two
are no reason to keep a prompt from the upstream that caches its parts. With few tight
streams, two deployments earned 0.804 and 0.813 of the value of all responses
with 1.5 instead of 4, and 0.820 and 0.819 with 4 (18 days each)."""

SERVICE_SECONDS = 0.045
"""Assumed service time of an upstream that is not an engine. Deviations are learned as
the upstream's slowness."""

PREEMPTION_SECONDS = 1.0
"""Cost of a request that preempts a less urgent one, whose prompt is read again while
its stream stalls. In 21 days with bursts and common faults, 0.578 of the value of all
responses was earned and 511 streams were preempted with 1.0; 0.576 and 553 with 0.3."""

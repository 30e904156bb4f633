"""Define the size, speed and behaviour of an engine."""

from attrs import frozen


@frozen
class EngineSettings:
    """Hold the settings of an engine.

    Times are in engine seconds; one engine second takes ``time_scale`` real
    seconds.
    """

    model: str = "fitting"
    model_version: str = "1"
    role: str = "serve"
    slots: int = 8
    max_waiting: int = 16
    cache_tokens: int = 20_000
    prefill_seconds_per_token: float = 0.0002
    prefill_chunk_tokens: int = 512
    step_seconds: float = 0.015
    step_seconds_per_running: float = 0.001
    # A cold engine can run ``cold_limit`` requests, and one more after every
    # ``answers_per_step`` completed answers, up to ``slots``.
    cold_limit: int = 2
    answers_per_step: int = 2
    cold_factor: float = 3.0
    restart_seconds: float = 0.5
    load_model_seconds: float = 0.5
    load_interval_seconds: float = 0.25
    load_lag_seconds: float = 0.5
    cache_event_lag_seconds: float = 0.5
    cache_event_gap_share: float = 0.02
    keep_stream_seconds: float = 60.0
    checks_fences: bool = True
    time_scale: float = 1.0
    seed: int = 0

    def capacity(self, answers: int) -> int:
        """Return how many requests can run after ``answers`` since cold."""
        return min(self.slots, self.cold_limit + answers // self.answers_per_step)

    def is_warm(self, answers: int) -> bool:
        """Return whether all slots are usable after ``answers`` since cold."""
        return self.capacity(answers) >= self.slots

    def step_time(self, running: int, prefill_tokens: int, answers: int) -> float:
        """Return how many real seconds one step of a batch takes."""
        seconds = self.step_seconds + self.step_seconds_per_running * running
        seconds += self.prefill_seconds_per_token * prefill_tokens
        if not self.is_warm(answers):
            seconds *= self.cold_factor
        return seconds * self.time_scale

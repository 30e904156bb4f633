"""Define the policy settings of the configuration document."""

from attrs import frozen


@frozen
class PolicySettings:
    """Define the settings of the policy and their defaults.

    Times are in seconds. ``docs/howto/policy-knobs.md`` describes each
    setting.
    """

    # Load cap
    load_multiple: float = 1.25
    load_floor: int = 2
    sum_stale_seconds: float = 5.0
    sum_discount: float = 0.1
    # Change of owner
    claim_wait_seconds: float = 2.0
    claim_seconds: float = 10.0
    claim_report_seconds: float = 10.0
    # Cold starts
    quiet_seconds: float = 10.0
    slow_first_token_factor: float = 4.0
    slow_first_token_seconds: float = 2.0
    prefill_tokens_per_second: float = 8000.0
    # Queue
    queue_per_slot: float = 2.0
    ageing_seconds: float = 2.0
    share_factor: float = 2.0
    # Placement
    prefix_entries_per_engine: int = 4096
    new_chat_multiple: float = 1.0
    displaced_chats: int = 4096
    attempts_per_request: int = 3
    # Retries and outliers
    retry_budget_share: float = 0.1
    retry_budget_per_second: float = 1.0
    backoff_seconds: float = 0.1
    backoff_limit_seconds: float = 5.0
    ejection_failures: int = 5
    ejection_seconds: float = 10.0
    ejection_limit_seconds: float = 300.0
    ejection_share: float = 0.1

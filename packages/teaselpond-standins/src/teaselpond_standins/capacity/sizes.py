"""Create hosts, engines and requests for a fleet of the design size."""

from teaselpond.policy import EngineProfile, RequestClass, SlotRequest
from teaselpond_model.contracts import Address, Host, HostKind

REGIONS = 5
ZONES = 17
MODELS = 12
SLOTS = 16
COLD_SLOTS = 4
BLOCK_TOKENS = 16


def zone_for_host(number: int) -> str:
    """Return the zone ID of the host with this number."""
    zone = number % ZONES
    return f"region-{zone % REGIONS}-zone-{zone:02}"


def make_host(number: int, kind: HostKind = HostKind.ENGINE) -> Host:
    """Return the host with this number; its address is unique."""
    address = Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 8000)
    return Host(f"{kind.value}-{number:05}", address, zone_for_host(number), kind)


def make_engine(number: int, models: int = MODELS) -> EngineProfile:
    """Return the engine with this number; models are assigned in turn."""
    model = f"model-{number % models:02}"
    return EngineProfile(make_host(number), model, SLOTS, COLD_SLOTS)


def make_request(number: int, model: str = "model-00") -> SlotRequest:
    """Return the slot request of the chat with this number."""
    return SlotRequest(
        request_id=f"daemon-000/1/{number}",
        workspace=f"workspace-{number % 2800:04}",
        chat=f"chat-{number:08x}",
        model=model,
        request_class=RequestClass.INTERACTIVE,
        prompt_tokens=3200,
        prefixes=tuple(f"{number * 8 + each:016x}" for each in range(8)),
        deadline=1e9,
        origin_daemon="daemon-000",
    )

"""Keep objects in memory."""

from attrs import define, field

from .faults import PlatformFaults


@define
class MemoryObjects:
    """Implement ObjectStore in memory, with injectable faults."""

    faults: PlatformFaults = field(factory=PlatformFaults)
    contents_by_name: dict[str, bytes] = field(factory=dict)

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; raise StoreUnavailable or StoreOutcomeUnknown."""
        fault = await self.faults.before_call("objects.put", name)
        self.contents_by_name[name] = content
        await self.faults.after_call("objects.put", fault)

    async def get(self, name: str) -> bytes | None:
        """Return an object or None; raise StoreUnavailable."""
        fault = await self.faults.before_call("objects.get", name)
        content = self.contents_by_name.get(name)
        await self.faults.after_call("objects.get", fault)
        return content

    async def delete(self, name: str) -> None:
        """Remove an object; raise StoreUnavailable or StoreOutcomeUnknown."""
        fault = await self.faults.before_call("objects.delete", name)
        self.contents_by_name.pop(name, None)
        await self.faults.after_call("objects.delete", fault)

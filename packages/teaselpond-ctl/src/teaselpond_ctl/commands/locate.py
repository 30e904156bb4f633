"""Show the daemon addresses that a caller should use."""

from urllib.parse import urlencode

from fire import decorators

from .base import Command


class LocateCommand(Command):
    """Show the daemon addresses that a caller should use."""

    @decorators.SetParseFn(str)
    async def __call__(self, workspace: str, chat: str = "") -> None:
        """List the addresses for a workspace and a chat, best first.

        The list is valid for the printed number of seconds.
        """
        query = urlencode({"workspace": workspace, "chat": chat})
        async with self._open_session() as session:
            answer = await session.request_first(f"/v1/locate?{query}")
        self._output.print_json(answer)
        for address in answer["addresses"]:
            self._output.print_text(address)
        self._output.print_text(f"valid for {answer['ttl_seconds']} s")

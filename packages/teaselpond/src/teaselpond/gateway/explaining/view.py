"""Answer operators' questions where a request would go, over HTTP."""

import json
from collections.abc import Callable

import attrs
from aiohttp.web_request import BaseRequest
from attrs import define
from multidict import MultiMapping

from .. import web
from ..calls import Prompt, PromptPart
from ..exceptions import MalformedRequest
from .explainer import Explainer
from .explanations import DEFAULT_REQUEST_ID, Question

EXPLAIN_PATH = "/explain"
PARAMETERS = frozenset({"host", "path", "route", "workspace", "prompt", "tokens", "id"})
MAX_VALUE_CHARACTERS = 4096
MAX_PROMPT_PARTS = 64


@define(eq=False)
class ExplanationView:
    """Serve explanations as JSON."""

    explainer: Explainer
    clock: Callable[[], float]

    def serve(self, request: BaseRequest) -> web.Response:
        """Answer one question; malformed ones get the status 400."""
        if request.method != "GET":
            return _respond(405, {"detail": f"expected GET, got {request.method:.10}"})
        try:
            question = read_question(request.query)
        except MalformedRequest as error:
            return _respond(400, {"detail": str(error)})
        explanation = self.explainer.explain(question, self.clock())
        return _respond(200, attrs.asdict(explanation))


def read_question(query: MultiMapping[str]) -> Question:
    """Read a question from a query; raise MalformedRequest."""
    values = {}
    for name, value in query.items():
        if name not in PARAMETERS:
            raise MalformedRequest(f"unknown parameter {name[:40]!r}")
        if name in values:
            raise MalformedRequest(f"{name}: expected one value, got several")
        if len(value) > MAX_VALUE_CHARACTERS:
            raise MalformedRequest(
                f"{name}: expected at most {MAX_VALUE_CHARACTERS} characters,"
                f" got {len(value)}"
            )
        values[name] = value
    route, host, path = (values.get(each, "") for each in ("route", "host", "path"))
    if route and (host or path):
        raise MalformedRequest("expected a route, or a host and a path, got both")
    if not route and not (host and path.startswith("/")):
        raise MalformedRequest("expected a route, or a host and a path that starts /")
    return Question(
        host,
        path,
        route,
        values.get("workspace", ""),
        _read_prompt(values.get("prompt", ""), values.get("tokens", "")),
        values.get("id") or DEFAULT_REQUEST_ID,
    )


def _read_prompt(parts_text: str, tokens_text: str) -> Prompt | None:
    if not parts_text:
        if tokens_text:
            raise MalformedRequest("tokens: expected a prompt with them")
        return None
    parts = tuple(_read_part(text) for text in parts_text.split(","))
    if len(parts) > MAX_PROMPT_PARTS:
        raise MalformedRequest(
            f"prompt: expected at most {MAX_PROMPT_PARTS} parts, got {len(parts)}"
        )
    if not tokens_text:
        return Prompt(parts, sum(part.tokens for part in parts), 0)
    counts = tokens_text.split(",")
    if len(counts) != 2 or not all(map(_is_count, counts)):
        raise MalformedRequest(
            f"tokens: expected INPUT,OUTPUT, got {tokens_text!r:.40}"
        )
    return Prompt(parts, int(counts[0]), int(counts[1]))


def _read_part(text: str) -> PromptPart:
    part_id, _, tokens = text.strip().rpartition(":")
    if not part_id or not _is_count(tokens):
        raise MalformedRequest(f"prompt: expected ID:TOKENS, got {text!r:.40}")
    return PromptPart(part_id, int(tokens))


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 9


def _respond(status: int, value: object) -> web.Response:
    return web.Response(
        status=status,
        body=json.dumps(value).encode(),
        headers={"Content-Type": "application/json"},
    )

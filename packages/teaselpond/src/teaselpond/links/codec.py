"""Turn frames into bytes and back: CBOR arrays of typed attrs messages."""

from typing import Any

import attrs
import cattrs
import cbor2

from .exceptions import FrameTooLarge, MalformedFrame, UnknownMessage
from .messages import Flow, Frame, message_class_for, message_name_for

FRAME_LIMIT_BYTES = 1 << 20
PLAIN_CLASSES = (int, str, bytes, bool, float)


def _strict(cls: type) -> Any:
    # cattrs would coerce, so that a number could pass for a daemon's name.
    def structure(value: Any, _: type) -> Any:
        if type(value) is not cls:
            raise TypeError(f"{type(value).__name__} is not {cls.__name__}")
        return value

    return structure


def _is_class(cls: type) -> Any:
    return lambda candidate: candidate is cls


def _structure_float(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"{type(value).__name__} is not a number")
    return float(value)


def _make_converter() -> cattrs.Converter:
    # Fields travel by position: their names would double a heartbeat's
    # size. A newer version may add fields at the end, with defaults; the
    # older one ignores them, and the newer one fills them in.
    converter = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)
    for cls in (int, str, bytes, bool):
        # Exactly this class: an IntEnum is structured as an enum.
        converter.register_structure_hook_func(_is_class(cls), _strict(cls))
    converter.register_structure_hook(float, _structure_float)

    converter.register_unstructure_hook_factory(
        attrs.has, lambda cls: _row_writer(cls, converter)
    )
    converter.register_structure_hook_factory(
        attrs.has, lambda cls: _row_reader(cls, converter)
    )
    return converter


def _row_writer(cls: type, converter: cattrs.Converter) -> Any:
    # The hooks of the fields are looked up once a class, not once a message.
    hooks = [
        (each.name, _unstructure_hook(each.type, converter))
        for each in attrs.fields(attrs.resolve_types(cls))
    ]

    def write(value: Any) -> tuple:
        return tuple(
            getattr(value, name) if hook is None else hook(getattr(value, name))
            for name, hook in hooks
        )

    return write


def _unstructure_hook(cls: Any, converter: cattrs.Converter) -> Any:
    return None if cls in PLAIN_CLASSES else converter.get_unstructure_hook(cls)


def _row_reader(cls: type, converter: cattrs.Converter) -> Any:
    types = [each.type for each in attrs.fields(attrs.resolve_types(cls))]
    hooks = [(converter.get_structure_hook(each), each) for each in types]

    def read(row: Any, _: type) -> Any:
        # A string would pass for a row of one-letter fields.
        if not isinstance(row, list | tuple):
            raise TypeError(f"{type(row).__name__} is not a row of fields")
        pairs = zip(hooks, row, strict=False)
        return cls(*(hook(value, each) for (hook, each), value in pairs))

    return read


_converter = _make_converter()


def pack(value: Any, cls: Any = None) -> bytes:
    """Encode a value of a typed class, for use inside a message."""
    return cbor2.dumps(_converter.unstructure(value, unstructure_as=cls))


def unpack(content: bytes, cls: Any) -> Any:
    """Decode a value that ``pack`` wrote; raise MalformedFrame."""
    try:
        return _converter.structure(cbor2.loads(content), cls)
    except Exception as error:
        raise MalformedFrame(f"not a {cls}: {error}", step="decode") from error


def encode(frame: Frame) -> bytes:
    """Encode a frame; raise FrameTooLarge."""
    row = [message_name_for(type(frame.message)), _converter.unstructure(frame.message)]
    if frame.flow is not Flow.ONE_WAY:
        row += [int(frame.flow), frame.call_id]
    content = cbor2.dumps(row)
    _check_size(content, row[0])
    return content


def decode(content: bytes) -> Frame:
    """Decode a frame.

    Raise FrameTooLarge, MalformedFrame or UnknownMessage, and nothing else,
    whatever the bytes.
    """
    _check_size(content, "frame")
    name, body, flow, call_id = _decode_row(content)
    cls = message_class_for(name)
    if cls is None:
        raise UnknownMessage(name, call_id=call_id if flow is Flow.CALL else 0)
    try:
        message = _converter.structure(body, cls)
    except Exception as error:
        raise MalformedFrame(f"not a {name}: {error}", step="decode") from error
    return Frame(message, flow, call_id)


def _decode_row(content: bytes) -> tuple[str, list, Flow, int]:
    try:
        row = cbor2.loads(content)
        name, body, *rest = row
        flow, call_id = rest or (0, 0)
        if type(name) is not str or type(body) is not list:
            raise TypeError("a frame is a name and a row of fields")
        if type(call_id) is not int or not 0 <= call_id < 1 << 64:
            raise TypeError("a call's number is a 64-bit integer")
        return name, body, Flow(flow), call_id
    except Exception as error:
        raise MalformedFrame(f"not a frame: {error}", step="decode") from error


def _check_size(content: bytes, name: str) -> None:
    if len(content) > FRAME_LIMIT_BYTES:
        raise FrameTooLarge(
            f"{name} has {len(content)} bytes, limit {FRAME_LIMIT_BYTES}",
            step="encode",
        )

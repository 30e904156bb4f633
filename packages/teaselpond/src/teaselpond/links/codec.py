"""Encode and decode frames: CBOR arrays of typed attrs messages."""

from typing import Any

import attrs
import cattrs
import cbor2

from .exceptions import FrameTooLarge, MalformedFrame, UnknownMessage
from .messages import Flow, Frame, message_class_for, message_name_for

FRAME_LIMIT_BYTES = 1 << 20
# CBOR encodes values of these classes without conversion.
PLAIN_CLASSES = (int, str, bytes, bool, float)


def _exact_type_hook(cls: type) -> Any:
    # cattrs would coerce the value, and accept a number as a daemon's id.
    def structure(value: Any, _: type) -> Any:
        if type(value) is not cls:
            raise TypeError(f"found {type(value).__name__}, expected {cls.__name__}")
        return value

    return structure


def _matches_class(cls: type) -> Any:
    return lambda candidate: candidate is cls


def _structure_float(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"found {type(value).__name__}, expected a number")
    return float(value)


def _make_converter() -> cattrs.Converter:
    # Fields are sent by position: their names would double a heartbeat's
    # size. A newer version may add fields with defaults at the end: an
    # older one ignores them, and a newer one fills in missing ones.
    converter = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)
    for cls in (int, str, bytes, bool):
        # Matches this class only: an IntEnum is structured as an enum.
        converter.register_structure_hook_func(
            _matches_class(cls), _exact_type_hook(cls)
        )
    converter.register_structure_hook(float, _structure_float)

    converter.register_unstructure_hook_factory(
        attrs.has, lambda cls: _make_field_encoder(cls, converter)
    )
    converter.register_structure_hook_factory(
        attrs.has, lambda cls: _make_field_decoder(cls, converter)
    )
    return converter


def _make_field_encoder(cls: type, converter: cattrs.Converter) -> Any:
    # Hooks are looked up once for each class, not for each message.
    hooks = [
        (each.name, _unstructure_hook(each.type, converter))
        for each in attrs.fields(attrs.resolve_types(cls))
    ]

    def encode_fields(value: Any) -> tuple:
        return tuple(
            getattr(value, name) if hook is None else hook(getattr(value, name))
            for name, hook in hooks
        )

    return encode_fields


def _unstructure_hook(cls: Any, converter: cattrs.Converter) -> Any:
    return None if cls in PLAIN_CLASSES else converter.get_unstructure_hook(cls)


def _make_field_decoder(cls: type, converter: cattrs.Converter) -> Any:
    types = [each.type for each in attrs.fields(attrs.resolve_types(cls))]
    hooks = [(converter.get_structure_hook(each), each) for each in types]

    def decode_fields(fields: Any, _: type) -> Any:
        # A string would be accepted as a list of one-character fields.
        if not isinstance(fields, list | tuple):
            raise TypeError(f"found {type(fields).__name__}, expected a list of fields")
        pairs = zip(hooks, fields, strict=False)
        return cls(*(hook(value, each) for (hook, each), value in pairs))

    return decode_fields


_converter = _make_converter()


def pack(value: Any, cls: Any = None) -> bytes:
    """Encode a value of a typed class as bytes for a message field."""
    return cbor2.dumps(_converter.unstructure(value, unstructure_as=cls))


def unpack(content: bytes, cls: Any) -> Any:
    """Decode a value that ``pack`` encoded; raise MalformedFrame."""
    try:
        return _converter.structure(cbor2.loads(content), cls)
    except Exception as error:
        raise MalformedFrame(
            f"cannot decode a value as {cls}: {error}", step="decode"
        ) from error


def encode(frame: Frame) -> bytes:
    """Encode a frame; raise FrameTooLarge."""
    parts = [
        message_name_for(type(frame.message)),
        _converter.unstructure(frame.message),
    ]
    if frame.flow is not Flow.ONE_WAY:
        parts += [int(frame.flow), frame.call_id]
    content = cbor2.dumps(parts)
    _check_size(content, parts[0])
    return content


def decode(content: bytes) -> Frame:
    """Decode a frame.

    Raise FrameTooLarge, MalformedFrame or UnknownMessage; no input raises
    any other error.
    """
    _check_size(content, "frame")
    name, body, flow, call_id = _decode_parts(content)
    cls = message_class_for(name)
    if cls is None:
        raise UnknownMessage(name, call_id=call_id if flow is Flow.CALL else 0)
    try:
        message = _converter.structure(body, cls)
    except Exception as error:
        raise MalformedFrame(
            f"cannot decode message {name}: {error}", step="decode"
        ) from error
    return Frame(message, flow, call_id)


def _decode_parts(content: bytes) -> tuple[str, list, Flow, int]:
    try:
        parts = cbor2.loads(content)
        name, body, *rest = parts
        flow, call_id = rest or (0, 0)
        if type(name) is not str or type(body) is not list:
            raise TypeError("expected a message name and a list of fields")
        if type(call_id) is not int or not 0 <= call_id < 1 << 64:
            raise TypeError("expected an unsigned 64-bit integer as call id")
        return name, body, Flow(flow), call_id
    except Exception as error:
        raise MalformedFrame(
            f"cannot decode a frame: {error}", step="decode"
        ) from error


def _check_size(content: bytes, name: str) -> None:
    if len(content) > FRAME_LIMIT_BYTES:
        raise FrameTooLarge(
            f"{name} has {len(content)} bytes, the limit is {FRAME_LIMIT_BYTES}",
            step="encode",
        )

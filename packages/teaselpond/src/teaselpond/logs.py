"""Write logs as JSON lines through absl."""

import json
import logging as standard_logging
from typing import Any

from absl import logging

LEVELS_BY_NAME = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class JsonFormatter(standard_logging.Formatter):
    """Format each record as one JSON object on one line."""

    def __init__(self, daemon_id: str) -> None:
        super().__init__()
        self.daemon_id = daemon_id

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return a record as a line of JSON."""
        values = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "daemon": self.daemon_id,
            "message": record.getMessage(),
        }
        values.update(getattr(record, "fields", {}))
        if record.exc_info:
            values["error"] = self.formatException(record.exc_info)
        return json.dumps(values, default=str)


def set_up_logs(daemon_id: str, level: str) -> None:
    """Send this process's logs to standard error as JSON lines."""
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonFormatter(daemon_id))
    logging.set_verbosity(LEVELS_BY_NAME[level])


def log_event(
    message: str,
    *,
    level: int = logging.INFO,
    request_id: str = "",
    step: str = "",
    peer: str = "",
    **fields: Any,
) -> None:
    """Log a message with the request, step and peer that it concerns.

    ``level`` is an absl level. Fields with empty or zero values are omitted.
    """
    extra = {"request_id": request_id, "step": step, "peer": peer, **fields}
    logging.get_absl_logger().log(
        logging.converter.absl_to_standard(level),
        message,
        extra={"fields": {key: value for key, value in extra.items() if value}},
    )

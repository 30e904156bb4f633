"""Define the tables of the store that a gateway uses."""

import enum


class Table(enum.Enum):
    """Identify a table, whatever its name in the store."""

    OPERATOR = "operator"
    ENGINES = "engines"
    MEMBERS = "members"
    QUARANTINES = "quarantines"
    STATUS = "status"


# The tables that every host caches. Datagrams refer to them by their index.
FOLLOWED_TABLES = (Table.OPERATOR, Table.ENGINES)

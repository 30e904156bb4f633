"""Name the tables of the store that a gateway uses."""

import enum


class Table(enum.Enum):
    """Name what a table holds."""

    OPERATOR = "operator"
    ENGINES = "engines"
    MEMBERS = "members"


# The tables that every host must know, in the order in which peers name them.
FOLLOWED_TABLES = (Table.OPERATOR, Table.ENGINES)

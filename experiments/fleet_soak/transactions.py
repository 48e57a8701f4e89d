"""Transactions of the store, as the platform documents them."""

import base64


def remove_transaction(table: str, key: str) -> dict[str, object]:
    """Return the store transaction that removes one row."""
    removal = {'table': table, 'part': '', 'key': key}
    return {'expectedRevision': [], 'puts': [], 'remove': [removal]}


def put_transaction(table: str, key: str, content: bytes) -> dict[str, object]:
    """Return the store transaction that writes one row."""
    put = {
        'table': table,
        'part': '',
        'key': key,
        'value': base64.b64encode(content).decode(),
    }
    return {'expectedRevision': [], 'puts': [put], 'remove': []}

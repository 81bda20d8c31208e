"""The current mechanism of each load and its planned successor: the texts in the page's tables."""

from __future__ import annotations

MECHANISMS: dict[tuple[str, str], str] = {
    (
        "registry",
        "lives told on (beats)",
    ): "today every beat to every registry; none yet for the size: a beat is told on only where it is news (a new "
    "life, another state, back from silence), the age of the rest once in a third of the silence by zone",
    (
        "registry",
        "quiet asks for news",
    ): "today a held ask of 1 s whose answer names all of the core with zones; the list by its change number "
    "alone (Control 1) takes N out of it",
    (
        "registry",
        "doors' words (count)",
    ): "today a name and six figures for each tenant and interval; none yet: a tenant's index, asked and held "
    "alone, a word only where it moved by a fifth, interval 2 s for small tenants",
    (
        "registry",
        "sums of tenants and doors",
    ): "today each registry's whole sum to each other; none yet: each tenant has one home registry by hash, which "
    "sums and answers the others that asked for it (2 messages in place of N-1)",
    (
        "registry",
        "connections",
    ): "three of a door, today's; fits the descriptors (4,096) at 65 doors a registry",
    ("registry", "memory"): "today's tables in memory; a Configuration object is the most of it",
    ("registry", "processor, beats alone"): "as lives told on; beats themselves stay",
    (
        "registry",
        "processor, doors quiet, beyond beats",
    ): "as sums and words; `BackendTable.changed_since` by a list of changes in their order, not a scan",
    (
        "registry",
        "all that is told when doors start",
    ): "today whole lives and the whole word from two sources, and all lives told back; none yet: lives packed "
    "once a change for all doors, the second source by digest, told back only what the registry lacks",
    ("registry", "processor, when doors start"): "the same, and places for few doors at a time",
    (
        "registry",
        "a change of configuration",
    ): "differences (Control 1), measured by `benchmarks/differences.py`",
    (
        "store",
        "states of the others",
    ): "every store asks every other; five voters, the rest learn (Control 1)",
    ("store", "memory"): "the body once, today's",
    ("store", "processor, quiet"): "five voters, the rest learn (Control 1)",
    (
        "registry",
        "processor, one change",
    ): "today a whole word read and sent to each door; differences, read by what changed (Control 1)",
    ("store", "one change"): "today the whole body to each store; parcels to five voters (Control 1)",
    ("door", "processor, one change"): "today read and tabled whole; by what changed, in slices (Control 1)",
    ("door", "one change at all doors"): "differences (Control 1)",
    (
        "operator",
        "one order",
    ): "whole words stay the operator's call; `POST /config/replace` takes nothing less",
    ("operator", "one order acknowledged"): "today read twice in a registry's loop; read apart (Control 1)",
    ("door", "memory"): "today's tables; shared parts by differences (Control 1)",
    ("door", "processor, quiet"): "today's",
}

"""Versions that are ordered by era, then by revision.

A store that returns from a backup copy gives out revisions a second time, for other
contents. It counts its returns as eras. One integer holds both, so that versions keep
their order wherever they are compared, kept or sent to a peer.
"""

# A store that makes 10,000 writes a second gives out fewer revisions in 800 years.
N_REVISION_BITS = 48
_REVISION_MASK = (1 << N_REVISION_BITS) - 1


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision that was given out in an era.

    Era 0 is that of a store which states none; its versions are its revisions.

    Examples
    --------
    >>> make_version(0, 115)
    115
    >>> make_version(2, 114) > make_version(1, 115)
    True
    """
    return era << N_REVISION_BITS | revision


def era_of(version: int) -> int:
    """Return the era in which a version was given out.

    Examples
    --------
    >>> era_of(make_version(3, 7))
    3
    """
    return version >> N_REVISION_BITS


def revision_of(version: int) -> int:
    """Return the store's revision in a version.

    Examples
    --------
    >>> revision_of(make_version(3, 7))
    7
    """
    return version & _REVISION_MASK


def is_of_earlier_era(version: int, other: int) -> bool:
    """Return whether a known version is of an earlier era than another version.

    Version 0, which stands for no version, is of none.

    Examples
    --------
    >>> is_of_earlier_era(make_version(1, 9), make_version(2, 3))
    True
    >>> is_of_earlier_era(0, make_version(2, 3))
    False
    """
    return version > 0 and era_of(version) < era_of(other)

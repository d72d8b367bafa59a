"""Exports of a package that are imported when they are first used."""

from collections.abc import Callable, Mapping
from importlib import import_module


def lazy_exports(
    package: str, names_by_module: Mapping[str, tuple[str, ...]]
) -> Callable[[str], object]:
    """Return the ``__getattr__`` of a package that imports its exports on demand.

    An instance then loads only the modules that its composition uses. ``package`` is
    the name of the package and ``names_by_module`` its exports by submodule.

    Examples
    --------
    >>> get = lazy_exports("chestnuthall.core.results", {"_codes": ("ResultCode",)})
    >>> get("ResultCode").__name__
    'ResultCode'
    """
    module_by_name = {
        name: f"{package}.{module}"
        for module, names in names_by_module.items()
        for name in names
    }

    def __getattr__(name: str) -> object:
        module_name = module_by_name.get(name)
        if module_name is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(module_name), name)

    return __getattr__

"""Stand-in for the platform's store: objects by kind and name, with watches."""

import asyncio
import json
from urllib.parse import parse_qs, unquote

from standins.http import Server, encode_answer

JSON = {"Content-Type": "application/json"}


class Store:
    """Linearizable objects; a single revision counts all changes."""

    def __init__(self):
        self.objects = {}
        self.changes = []
        self.revision = 10
        self._changed = asyncio.Event()
        self.server = Server(self._handle)

    def put(self, kind, name, spec):
        """Write an object as its owner would."""
        self.revision += 1
        body = {
            "meta": {"Name": name, "Revision": self.revision, "Finalizers": []},
            "spec": spec,
            "status": None,
        }
        self.objects.setdefault(kind, {})[name] = body
        self._record(kind, body, False)
        return body

    def remove(self, kind, name):
        """Delete an object."""
        body = self.objects[kind].pop(name)
        self.revision += 1
        self._record(kind, body, True)
        return body

    def _record(self, kind, body, is_deleted):
        self.changes.append((self.revision, kind, body, is_deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, connection, request):
        status, body = await self._call(request)
        connection.write(encode_answer(status, JSON, json.dumps(body).encode()))

    async def _call(self, request):
        parts = request.path.split("/")
        kind, name = unquote(parts[3]), unquote("/".join(parts[4:]))
        options = {key: value[0] for key, value in parse_qs(request.query).items()}
        known = self.objects.get(kind, {})
        if request.method == "POST":
            spec = json.loads(request.body)
            name = spec["meta"]["Name"]
            if name in known:
                return 409, known[name]
            return 200, self.put(kind, name, spec["spec"])
        if not name:
            if "Watch" in options:
                return 200, await self._watch(kind, options)
            items = list(known.values())
            return 200, {"items": items, "More": False, "At": self.revision}
        if name not in known:
            return 404, {}
        if request.method == "GET":
            return 200, known[name]
        return self._write(kind, name, request, options)

    def _write(self, kind, name, request, options):
        current = self.objects[kind][name]
        body = json.loads(request.body) if request.body else {}
        wanted = options.get("Revision", body.get("meta", {}).get("Revision"))
        if wanted is not None and int(wanted) != current["meta"]["Revision"]:
            return 409, current
        if request.method == "DELETE":
            return 200, self.remove(kind, name)
        if body["spec"] == current["spec"]:
            return 200, current
        return 200, self.put(kind, name, body["spec"])

    async def _watch(self, kind, options):
        after = int(options["Watch"])
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + int(options.get("WaitMs", 0)) / 1000.0
        while True:
            events = [
                {"Object": body, "Deleted": is_deleted}
                for revision, changed_kind, body, is_deleted in self.changes
                if revision > after and changed_kind == kind
            ]
            left_s = ends_at_s - loop.time()
            if events or left_s <= 0.0:
                return {"events": events, "At": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

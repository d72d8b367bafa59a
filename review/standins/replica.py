"""Stand-in for a replica, with hooks for its faults."""

import asyncio
import time

from standins.http import Server, encode_answer


class Replica:
    """A replica that runs ``n_slots`` requests at once and queues a few more.

    ``spoil(replica, request, answer)`` returns the bytes to send in place of an
    answer, or None for the answer itself. ``repeat_after_s(replica)`` returns after
    which time a second copy of the answer follows, or None for no copy.
    """

    def __init__(self, record, name, service, **settings):
        self._record = record
        self.name = name
        self.service = service
        self.zone = settings.get("zone", "hobart")
        self.n_slots = settings.get("n_slots", 2)
        self.n_queued_max = settings.get("n_queued_max", 2)
        self.work_s = settings.get("work_s", 0.05)
        self.status = lambda: 200
        self.spoil = lambda replica, request, answer: None
        self.repeat_after_s = lambda replica: None
        self.last_answer = b""
        self._n_present = 0
        self._n_run = 0
        self._slots = asyncio.Semaphore(self.n_slots)
        self._born_ms = int(time.time() * 1000)
        self.server = Server(self._handle)

    def entry(self, **changes):
        """Return the entry that the replica writes to the store."""
        return {
            "Service": self.service,
            "Address": self.server.address,
            "Zone": self.zone,
            "Version": "v1",
            "MaxConcurrency": self.n_slots,
            "State": "ready",
            "WarmupLeftMs": 0,
            "Sequence": 1,
            "born": self._born_ms,
            **changes,
        }

    async def _handle(self, connection, request):
        answer = await self._answer(request)
        spoiled = self.spoil(self, request, answer)
        connection.write(answer if spoiled is None else spoiled)
        self.last_answer = answer
        delay_s = self.repeat_after_s(self)
        if delay_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, connection.write, answer)

    async def _answer(self, request):
        headers = request.headers
        request_id = headers.get("x-request-id", "")
        if request.path == "/health":
            return encode_answer(200, {"X-Instance-Id": self.name})
        if headers.get("x-expect-instance", self.name) != self.name:
            return self._rejection(421, request_id)
        if self._n_present >= self.n_slots + self.n_queued_max:
            return self._rejection(503, request_id)
        self._n_present += 1
        try:
            async with self._slots:
                return await self._run(request_id)
        finally:
            self._n_present -= 1

    async def _run(self, request_id):
        self._n_run += 1
        status = self.status()
        stamp = f"{self.name}.{self._n_run}"
        self._record.add("run", request_id, self.name, status)
        await asyncio.sleep(self.work_s)
        headers = {"X-Request-Id": request_id, "X-Server-Stamp": stamp}
        return encode_answer(status, headers, f"record of {request_id}".encode())

    def _rejection(self, status, request_id):
        self._record.add("rejected", request_id, self.name, status)
        headers = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
        return encode_answer(status, headers)

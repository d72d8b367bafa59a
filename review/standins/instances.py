"""Starts instances of the system as the deploy file says, and ends them."""

import json
import os
import re
import signal
import socket
import subprocess
import tomllib
from pathlib import Path

from standins.http import LOOPBACK, ClientConnection

ROOT = Path(__file__).resolve().parents[2]
# Below the range from which the system takes ports of outgoing connections.
PORT_MIN, PORT_MAX = 12_000, 30_000
BOUNDS = {
    "StableWindowMs": 4000,
    "ConfigDeadlineMs": 3000,
    "DrainMs": 3000,
    "GraceS": 6,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBudgetFloor": 58,
}
_next_port = PORT_MIN + os.getpid() * 37 % (PORT_MAX - PORT_MIN - 2000)


def free_port():
    """Return a port on which nothing listens."""
    global _next_port
    while True:
        _next_port += 1
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, _next_port))
            except OSError:
                continue
            return _next_port


def _lookup(fields, path):
    for key in path.split("."):
        fields = fields[int(key)] if isinstance(fields, list) else fields[key]
    return fields


def render(template, fields):
    """Fill in a settings template of the deploy file."""

    def replace(match):
        value = _lookup(fields, match.group(1))
        return json.dumps(value) if match.group(2) else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, template)


class Instance:
    """One instance of the role in the deploy file, as a process."""

    def __init__(self, record, folder, name, store_address, zone="hobart"):
        self._record = record
        self.name = name
        self.zone = zone
        self.process = None
        self._folder = folder
        ports = {item: free_port() for item in ("Front", "Ready", "Control")}
        self.addresses = {key: f"{LOOPBACK}:{port}" for key, port in ports.items()}
        internal = free_port()
        self.fields = {
            "NodeName": name,
            "Zone": zone,
            "Ip": LOOPBACK,
            "ListenAddrs": self.addresses,
            "InternalPorts": [internal, internal + 15],
            "Seeds": [],
            "platform": {"Address": store_address},
            "Bounds": BOUNDS,
        }

    def start(self):
        """Render the settings and start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        settings = self._folder / f"{self.name}.conf"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(render(template, self.fields))
        command = [*role["run"].split()[:-1], str(settings)]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.add("started", self.name, self.process.pid)

    async def is_ready(self):
        """Return whether the readiness check answers 200."""
        connection = ClientConnection(self.addresses["Ready"])
        answer = await connection.exchange("GET", "/v1/ready", {"Host": "r"}, b"", 1.0)
        connection.close()
        return answer.status == 200

    def send_signal(self, signal_number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            name = signal.Signals(signal_number).name
            self._record.add("signal", self.name, name)
            self.process.send_signal(signal_number)

    def end(self):
        """End the process and wait for it."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

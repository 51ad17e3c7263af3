"""Starts the daemons by the deploy file's `run` line, with settings of a small deployment, and ends them."""

import os
import re
import signal
import subprocess
import tempfile
import time

import template
import wire

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The figures of the sheet of Kumbukumbu, Nairobi.
BOUNDS = {
    "drain-ms": 2000,
    "config-ms": 2000,
    "contact-ms": 3000,
    "lease-ms": 3000,
    "retry-budget": 0.2,
    "budget-window-s": 10,
    "budget-slack": 52,
    "quota-over": 0.1,
    "quota-window-s": 8,
    "quota-slack": 72000,
    "window-s": 5,
    "usage-late-s": 10,
    "grace-s": 8,
}
LIMITS = {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0}
ZONES = ("westlands", "upperhill", "kasarani")


def deploy_line(name):
    """The value of a line of the deploy file's only role."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        return re.search(r'^%s = "(.*)"$' % name, file.read(), re.MULTILINE).group(1)


def own_addresses(count):
    """A loopback address for each machine, apart from those of other runs."""
    net = "127.%d.%d" % (20 + os.getpid() % 200, os.getpid() // 200 % 250)
    return ["%s.%d" % (net, index + 1) for index in range(count)]


class Daemon:
    def __init__(self, name, zone, seeds, control, platform, folder):
        self.name = name
        self.zone = zone
        self.ip = wire.address_of(control)[0]
        self.front = wire.free_address(self.ip)
        self.readiness = wire.free_address(self.ip)
        self.control = control
        self.path = os.path.join(folder, name + ".json")
        self.log_path = os.path.join(folder, name + ".log")
        self.process = None
        self.write_settings(seeds, platform)

    def write_settings(self, seeds, platform):
        fields = {
            "node-name": self.name,
            "zone": self.zone,
            "zones": {zone: "nairobi" for zone in ZONES},
            "ip": self.ip,
            "seeds": seeds,
            "listen": {"front": self.front, "readiness": self.readiness, "control": self.control},
            "limits": LIMITS,
            "bounds": BOUNDS,
            "platform": {"address": platform.address},
            "cloud-api": {"address": platform.address},
        }
        with open(os.path.join(ROOT, deploy_line("template"))) as file:
            text = template.fill(file.read(), fields)
        with open(self.path, "w") as file:
            file.write(text)

    def start(self):
        environment = {"PATH": os.environ["PATH"], "HALLCHUTE_SETTINGS": self.path}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                deploy_line("run").split(), cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )

    def running(self):
        return self.process is not None and self.process.poll() is None

    def ready(self):
        try:
            return wire.exchange(self.readiness, "GET", "/ready", {}, timeout=0.5)[0] == 200
        except OSError:
            return False

    def resident_mb(self):
        """What the platform holds against `memory-mb`; 0 once the process has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def kill(self):
        if self.running():
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Fleet:
    def __init__(self, count, platform):
        self.folder = tempfile.mkdtemp(prefix="hallchute-review-")
        controls = [wire.free_address(ip) for ip in own_addresses(count)]
        self.daemons = []
        for index in range(count):
            zone = ZONES[index % len(ZONES)]
            name = "front-%s-%d" % (zone, index // len(ZONES) + 1)
            self.daemons.append(Daemon(name, zone, controls[:3], controls[index], platform, self.folder))

    def start(self, limit_s=20.0):
        """Returns whether all daemons became ready."""
        for daemon in self.daemons:
            daemon.start()
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(daemon.ready() for daemon in self.daemons):
                return True
            if not all(daemon.running() for daemon in self.daemons):
                return False
            time.sleep(0.1)
        return False

    def stop(self):
        for daemon in self.daemons:
            daemon.kill()

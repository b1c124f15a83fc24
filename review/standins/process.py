"""Starts the project's own programs as the deploy file does, on loopback addresses."""

import asyncio
import json
import os
import random
import signal
import subprocess

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/release/pomelorampd"
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "rollback_slack_ms": 250, "outer_ms": 5000, "strict_revoke": False, "revoke_ms": 5000,
          "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 90, "recover_s": 12, "pass_ms": 120,
          "retry_after_s": 0, "stall_ms": 1500, "fence_required": True, "ttl_max_s": 5}


def free_network():
    """Returns the first three numbers of a random loopback network."""
    return f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"


class Process:
    """One process of the system; it is started again with `start` after it has ended."""

    def __init__(self, arguments, settings, folder):
        self.arguments = arguments
        self.name = settings["node"]
        self.settings_path = os.path.join(folder, f"{self.name}.json")
        self.log_path = os.path.join(folder, f"{self.name}.log")
        with open(self.settings_path, "w") as file:
            json.dump(settings, file)
        self.child = None

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["POMELORAMP_CONFIG"] = self.settings_path
        if "RUST_LOG" in os.environ:
            environment["RUST_LOG"] = os.environ["RUST_LOG"]
        with open(self.log_path, "a") as log:
            self.child = subprocess.Popen([PROGRAM, *self.arguments], cwd=REPOSITORY, env=environment,
                                          stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self):
        if self.child is not None:
            self.signal(signal.SIGKILL)
            self.child.wait()


def base_settings(node, ip, store_address, seeds):
    return {"node": node, "ip": ip, "zone": "zone-1", "region": "region-1", "zones": {"zone-1": "region-1"},
            "internal_port_range": [7340, 7355], "seeds": seeds, "bootstrap": True, "counts_as_loss": False,
            "data_dir": None, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
            "bounds": BOUNDS, "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "platform": {"address": store_address, "form": "read", "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000}}


def entry(node, ip, store_address, seeds, folder):
    settings = base_settings(node, ip, store_address, seeds)
    settings |= {"role": "entry", "machine_class": "front", "serves": ["front", "control", "directory"],
                 "listen": {"front": f"{ip}:8227", "ready": f"{ip}:8220", "control": f"{ip}:8229",
                            "directory": f"{ip}:8224"},
                 "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4200,
                            "link_mbps": 1000.0, "disk_mb": 0}}
    return Process(["--platform", "entry"], settings, folder)


def agent(node, ip, app, service, store_address, seeds, folder):
    settings = base_settings(node, ip, store_address, seeds)
    settings |= {"role": "agent", "machine_class": "side", "serves": ["side"], "listen": {}, "app": app,
                 "service": service,
                 "limits": {"cpu_share": 0.15, "cores": 1, "memory_mb": 128, "max_fds": 2048,
                            "link_mbps": 20.0, "disk_mb": 0}}
    return Process(["--platform", "endpoint"], settings, folder)


async def wait_until(condition, timeout_s, step_s=0.05):
    """Waits until the condition, a coroutine function, returns a true value; returns whether it did."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while loop.time() < deadline:
        if await condition():
            return True
        await asyncio.sleep(step_s)
    return False

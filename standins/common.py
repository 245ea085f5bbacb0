"""Serve a simulated outside system over HTTP, on a port of its own."""

import argparse
import json
import signal
import socket
import sys
from typing import Any

import bottle
import gevent
from gevent.pywsgi import WSGIServer


class Server(WSGIServer):
    """Serve with TCP_NODELAY, so that each event of a stream is sent at once."""

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection without delaying small packets."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def parser(description: str) -> argparse.ArgumentParser:
    """Build the argument parser with the options of every simulated system."""
    result = argparse.ArgumentParser(description=description)
    result.add_argument("--listen", default="127.0.0.1:0")
    return result


def serve(app: bottle.Bottle, listen: str) -> None:
    """Serve until SIGTERM; print the bound address as the first line."""
    host, port = listen.rsplit(":", 1)
    server = Server((host, int(port)), app, log=None, error_log=None)
    server.init_socket()
    server.start()
    print(f"{host}:{server.server_port}", flush=True)
    gevent.signal_handler(signal.SIGTERM, sys.exit, 0)
    server.serve_forever()


def reply(data: Any, status: int = 200, **headers: str) -> bottle.HTTPResponse:
    """Build a JSON reply."""
    return bottle.HTTPResponse(
        json.dumps(data),
        status,
        headers={"Content-Type": "application/json", **headers},
    )

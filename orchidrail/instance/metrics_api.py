"""HTTP endpoint of a process's metrics for Prometheus."""

from __future__ import annotations

from blacksheep import Application, Content, Request, Response, Router
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from orchidrail.metrics import InstanceMetrics

_OK = 200


def metrics_app(metrics: InstanceMetrics) -> Application:
    """Return an application that answers every path with the metrics."""
    app = Application(router=Router())

    async def serve(request: Request) -> Response:
        """Return all metrics, whatever the path."""
        text = generate_latest(metrics.registry)
        return Response(
            _OK, content=Content(CONTENT_TYPE_LATEST.encode(), text)
        )

    app.router.fallback = serve
    return app

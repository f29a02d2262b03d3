"""Read the metrics page of a real node process."""

import http.client

from behave import then, when


@when("the metrics of the node are read")
def step_read_metrics(context):
    connection = http.client.HTTPConnection(
        *context.node.settings.operators, timeout=5.0
    )
    context.add_cleanup(connection.close)
    connection.request("GET", "/metrics")
    context.metrics = connection.getresponse().read().decode()


@then("they show {count:d} requests in flight")
def step_in_flight(context, count):
    (line,) = [line for line in context.metrics.splitlines() if "in_flight" in line]
    assert float(line.rpartition(" ")[2]) == count, line

import test from "ava";

import { createMetrics } from "../../createMetrics.js";

test("createMetrics: samples of one name are kept by all their labels, whose values are escaped", t => {
    // A value with a quote or a line break that is not escaped makes the whole page unreadable to Prometheus.
    const metrics = createMetrics();
    metrics.count("calls_total", "Calls.", { outcome: "answered", connection: "kept" });
    metrics.count("calls_total", "Calls.", { outcome: "answered", connection: "kept" }, 2);
    metrics.count("calls_total", "Calls.", { outcome: "answered", connection: "new" });
    metrics.count("odd_total", "Odd values.", { value: "a \"b\" \\ c\nd" });
    metrics.count("plain_total", "Without labels.");
    t.deepEqual(metrics.render().split("\n").filter(line => !line.startsWith("#")), [
        "calls_total{outcome=\"answered\",connection=\"kept\"} 3",
        "calls_total{outcome=\"answered\",connection=\"new\"} 1",
        "odd_total{value=\"a \\\"b\\\" \\\\ c\\nd\"} 1",
        "plain_total 1",
        "",
    ]);
});

//! Records a session in the format of its golden file.

use std::fmt::Write;

use crate::http_caller::{self, CallerAnswer};
use crate::test_cluster::{TestCluster, TestHost};

/// Response headers included in golden files. The others depend on the machine or the time.
const SHOWN_HEADERS: [&str; 3] = ["jacinthpulley-verdict", "jacinthpulley-cause", "retry-after"];

/// Metrics included in golden files.
const SHOWN_METRICS: [&str; 5] = [
    "pulley_answers_total",
    "pulley_refusals_total",
    "pulley_requests_total",
    "pulley_added_latency_seconds_count",
    "pulley_upstream_latency_seconds_count",
];

/// The record of one session: commands, requests and their output.
#[derive(Debug, Default)]
pub(crate) struct SessionRecord {
    text: String,
}

impl SessionRecord {
    /// Adds a note about what the test itself does.
    pub(crate) fn add_note(&mut self, text: &str) {
        let _ = writeln!(self.text, "# {text}\n");
    }

    /// Runs `pulleyctl` against the cluster and records its arguments, output and exit code.
    pub(crate) fn pulleyctl(&mut self, cluster: &TestCluster, args: &[&str]) {
        let output = cluster.pulleyctl(args);
        let _ = writeln!(self.text, "$ pulleyctl {}", args.join(" "));
        self.text.push_str(&output.err);
        self.text.push_str(&output.out);
        let _ = writeln!(self.text, "[exit code {}]\n", output.code);
    }

    /// Sends a request to a host and records the request and its answer.
    pub(crate) async fn call(
        &mut self,
        host: &TestHost,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) {
        let answer = http_caller::call(host.callers(), method, path, headers, body).await;
        self.write_request(method, path, headers, body);
        match answer {
            Ok(answer) => self.write_answer(&answer),
            Err(fault) => {
                let _ = writeln!(self.text, "< no whole answer: {fault}\n");
            }
        }
    }

    /// Records a host's request counters. Times and gauges are left out, because they differ
    /// between runs.
    pub(crate) async fn metrics(&mut self, cluster: &TestCluster, index: usize) {
        let key = format!("Bearer {}", cluster.secret());
        let headers = [("authorization", key.as_str())];
        let operators = cluster.hosts[index].operators();
        let answer = http_caller::call(operators, "GET", "/metrics", &headers, "").await;
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        let counted = body.lines().filter(|line| {
            SHOWN_METRICS.iter().any(|name| line.starts_with(name)) && !line.ends_with(" 0")
        });
        for line in counted {
            let _ = writeln!(self.text, "{line}");
        }
    }

    /// Records a request.
    pub(crate) fn write_request(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) {
        let _ = writeln!(self.text, "> {method} {path}");
        for (name, value) in headers {
            let _ = writeln!(self.text, "> {name}: {value}");
        }
        if !body.is_empty() {
            let _ = writeln!(self.text, "> {body}");
        }
    }

    /// Records an answer.
    pub(crate) fn write_answer(&mut self, answer: &CallerAnswer) {
        let _ = writeln!(self.text, "< {}", answer.status);
        for (name, value) in &answer.headers {
            if SHOWN_HEADERS.contains(&name.as_str()) {
                let _ = writeln!(self.text, "< {name}: {value}");
            }
        }
        let _ = writeln!(self.text, "< {}\n", answer.body.trim_end());
    }

    /// Compares the record with its golden file. Times, addresses and other values that differ
    /// between runs are replaced by placeholders.
    pub(crate) fn check(self, name: &str) {
        let mut settings = insta::Settings::clone_current();
        settings.set_snapshot_path("golden");
        settings.set_prepend_module_to_snapshot(false);
        settings.set_omit_expression(true);
        settings.add_filter(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z", "[time]");
        // Log indexes vary, because a new leader appends an entry after each election.
        settings.add_filter(r"(?m)^\d+ +\[time\]", "[index]  [time]");
        settings.add_filter(r"replica:host-\d", "[leader]      ");
        settings.add_filter(r"retry-after: \d+", "retry-after: [seconds]");
        settings.add_filter(r"127\.\d+\.\d+\.\d+:\d+", "[address]");
        settings.add_filter(r"c-[0-9a-f]{16}", "[change id]");
        settings.bind(|| insta::assert_snapshot!(name, self.text));
    }
}

//! Resource usage of the control thread: CPU time, and the datagrams and bytes that it sends and
//! receives. It is reported in the state dump and as metrics.

use {
    cpu_time::ThreadTime,
    std::time::{Duration, Instant},
};

/// Interval at which the metrics are updated.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Usage counted since the control thread started.
#[derive(Debug)]
pub(crate) struct Usage {
    started: Instant,
    cpu: ThreadTime,
    last_export: Instant,
    /// Number of datagrams sent, and their bytes.
    sent: (u64, u64),
    /// Number of datagrams received, and their bytes.
    received: (u64, u64),
}

/// Usage as written into the state dump; the field names are its keys.
#[derive(Debug, serde::Serialize)]
pub(crate) struct UsageDump {
    uptime_s: f64,
    cpu_s: f64,
    messages_sent: u64,
    bytes_sent: u64,
    messages_received: u64,
    bytes_received: u64,
}

impl Usage {
    /// Starts counting. CPU time is counted for the calling thread, which must be control.
    pub(crate) fn start() -> Self {
        let now = Instant::now();
        Self {
            started: now,
            cpu: ThreadTime::now(),
            last_export: now,
            sent: (0, 0),
            received: (0, 0),
        }
    }

    pub(crate) fn record_sent(&mut self, bytes: usize) {
        self.sent.0 += 1;
        self.sent.1 += bytes as u64;
    }

    pub(crate) fn record_received(&mut self, bytes: usize) {
        self.received.0 += 1;
        self.received.1 += bytes as u64;
    }

    /// Updates the metrics if [`EXPORT_INTERVAL`] has passed since the last update.
    pub(crate) fn export(&mut self, daemon: &str) {
        if self.last_export.elapsed() < EXPORT_INTERVAL {
            return;
        }
        self.last_export = Instant::now();
        let labels = [("daemon", daemon.to_owned())];
        let dump = self.dump();
        metrics::gauge!("rattanturn_control_cpu_seconds", &labels).set(dump.cpu_s);
        metrics::counter!("rattanturn_control_sent_bytes_total", &labels).absolute(self.sent.1);
        metrics::counter!("rattanturn_control_sent_messages_total", &labels).absolute(self.sent.0);
        metrics::counter!("rattanturn_control_received_bytes_total", &labels)
            .absolute(self.received.1);
        metrics::counter!("rattanturn_control_received_messages_total", &labels)
            .absolute(self.received.0);
    }

    pub(crate) fn dump(&self) -> UsageDump {
        UsageDump {
            uptime_s: self.started.elapsed().as_secs_f64(),
            cpu_s: self.cpu.elapsed().as_secs_f64(),
            messages_sent: self.sent.0,
            bytes_sent: self.sent.1,
            messages_received: self.received.0,
            bytes_received: self.received.1,
        }
    }
}

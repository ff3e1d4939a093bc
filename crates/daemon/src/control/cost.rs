//! What control costs this daemon: processor time, messages and bytes.

use {
    cpu_time::ThreadTime,
    std::time::{Duration, Instant},
};

/// Interval at which the costs are exported.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Costs since the control thread started.
#[derive(Debug)]
pub(crate) struct Cost {
    started: Instant,
    cpu: ThreadTime,
    exported: Instant,
    sent: (u64, u64),
    received: (u64, u64),
}

/// Costs for the state dump.
#[derive(Debug, serde::Serialize)]
pub(crate) struct CostDump {
    uptime_s: f64,
    cpu_s: f64,
    messages_sent: u64,
    bytes_sent: u64,
    messages_received: u64,
    bytes_received: u64,
}

impl Cost {
    /// Starts counting; to be called on the control thread.
    pub(crate) fn start() -> Self {
        let now = Instant::now();
        Self {
            started: now,
            cpu: ThreadTime::now(),
            exported: now,
            sent: (0, 0),
            received: (0, 0),
        }
    }

    pub(crate) fn sent(&mut self, bytes: usize) {
        self.sent.0 += 1;
        self.sent.1 += bytes as u64;
    }

    pub(crate) fn received(&mut self, bytes: usize) {
        self.received.0 += 1;
        self.received.1 += bytes as u64;
    }

    /// Exports the costs as metrics from time to time.
    pub(crate) fn export(&mut self, daemon: &str) {
        if self.exported.elapsed() < EXPORT_INTERVAL {
            return;
        }
        self.exported = Instant::now();
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

    pub(crate) fn dump(&self) -> CostDump {
        CostDump {
            uptime_s: self.started.elapsed().as_secs_f64(),
            cpu_s: self.cpu.elapsed().as_secs_f64(),
            messages_sent: self.sent.0,
            bytes_sent: self.sent.1,
            messages_received: self.received.0,
            bytes_received: self.received.1,
        }
    }
}

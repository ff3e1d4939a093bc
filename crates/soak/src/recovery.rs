//! Checks that all daemons serve again after the faults.

use {
    crate::{
        RECOVERY_TIME, accounts,
        checks::RequestKind,
        connection::{Answer, Connection, Outcome},
        daemons::Daemon,
        runner::Runner,
    },
    actix_rt::time::sleep,
    rattanturn_platform::http::READY_PATH,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Consecutive rounds of good answers from all daemons that count as recovery.
const GOOD_ROUNDS: usize = 5;

impl Runner {
    /// Waits until each daemon completely serves every kind of request, `GOOD_ROUNDS` times in a
    /// row. A round that fails after `RECOVERY_TIME` is a violation. Each round that fails is a line of
    /// `run.txt`, because the last one may have another cause than those before.
    pub(crate) async fn await_recovery(&self) {
        if let Err(error) = self.start_all() {
            self.checks.borrow_mut().add_violation(error.to_string());
        }
        let end = Instant::now() + RECOVERY_TIME;
        let waits = || -> Vec<Duration> {
            let daemons = self.daemons.borrow();
            daemons.iter().map(Daemon::processor_wait).collect()
        };
        let before = waits();
        let mut good = 0;
        while good < GOOD_ROUNDS {
            let failed = self.check_round().await;
            if let Some(error) = &failed {
                self.log_fault(&format!("not recovered after {good} good rounds: {error}"));
            }
            match failed {
                None => good += 1,
                Some(error) if Instant::now() > end => {
                    let waited = waits().into_iter().zip(before);
                    let waited = waited.map(|(after, before)| after.saturating_sub(before));
                    let text = format!(
                        "not recovered in time: {error}; threads of the daemons have waited up to {:?} \
                         for a processor meanwhile",
                        waited.max().unwrap_or_default()
                    );
                    self.checks.borrow_mut().add_violation(text);
                    return;
                }
                Some(_) => {
                    good = 0;
                    sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    /// Sends one request of each kind to each daemon; returns the first failure.
    async fn check_round(&self) -> Option<String> {
        let addresses: Vec<(String, SocketAddr, SocketAddr)> = {
            let daemons = self.daemons.borrow();
            let all = daemons.iter();
            all.map(|d| (d.name.clone(), d.front(), d.ready()))
                .collect()
        };
        for (name, front, ready) in addresses {
            let mut connection = Connection::default();
            let limit = Duration::from_secs(3);
            match connection.send(ready, READY_PATH, "ready", "", limit).await {
                Outcome::Answered(answer) if answer.status == 200 => {}
                other => return Some(format!("{name}: expected a ready daemon, got {other:?}")),
            }
            for kind in RequestKind::ALL {
                let number = self.next_id.get();
                self.next_id.set(number + 1);
                let id = format!("r{number}");
                let mut connection = Connection::default();
                self.checks.borrow_mut().count_request(kind);
                if let Some(book) = &self.accounts {
                    let key = book.borrow().oldest_key(accounts::PROBE);
                    self.checks.borrow_mut().note_key(&id, &key);
                    connection.key = Some(key);
                }
                let outcome = connection.send(front, &kind.path(0), &id, "", limit).await;
                match outcome {
                    Outcome::Answered(a) if a.status == 200 && is_complete(kind, &a) => {}
                    Outcome::Answered(a) => {
                        let missing = a.source().missing;
                        return Some(format!(
                            "{name} {kind:?} request {id}: expected 200 with all parts, \
                             got {}, missing {missing:?}",
                            a.status
                        ));
                    }
                    other => {
                        let text =
                            format!("{name} {kind:?} request {id}: expected 200, got {other:?}");
                        return Some(text);
                    }
                }
            }
        }
        None
    }
}

/// Whether no part of an answer is missing.
fn is_complete(kind: RequestKind, answer: &Answer) -> bool {
    kind != RequestKind::Gather || answer.source().missing == Some(0)
}

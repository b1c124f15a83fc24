//! Report of idle time at one endpoint for operators.

use std::collections::HashMap;

use crate::IdleTimeTracker;
use crate::protos::control::IdleTime;
use crate::protos::control::LentShare;

/// Returns the used, lent and idle time of every organisation at one endpoint of `service`.
///
/// The borrowers of each organisation are sorted by descending lent time.
#[must_use]
pub fn idle_report(tracker: &IdleTimeTracker, service: &str) -> Vec<IdleTime> {
    let mut lent_to: HashMap<&str, Vec<LentShare>> = HashMap::new();
    for lent in tracker.lent_times() {
        lent_to.entry(lent.owner).or_default().push(LentShare {
            borrower: lent.borrower.to_owned(),
            lent_ms: lent.lent_ms,
        });
    }
    let accounts = tracker.accounts().iter();
    accounts
        .map(|account| IdleTime {
            organisation: account.organisation.clone(),
            service: service.to_owned(),
            used_ms: account.used_ms,
            lent_ms: account.lent_ms,
            idle_ms: account.idle_ms,
            borrowed_ms: account.borrowed_ms,
            lent_to: by_descending_time(lent_to.remove(account.organisation.as_str())),
        })
        .collect()
}

fn by_descending_time(shares: Option<Vec<LentShare>>) -> Vec<LentShare> {
    let mut shares = shares.unwrap_or_default();
    shares.sort_unstable_by(|a, b| {
        let by_time = b.lent_ms.cmp(&a.lent_ms);
        by_time.then_with(|| a.borrower.cmp(&b.borrower))
    });
    shares
}

//! Batches the notices that other instances send to this one as their hub.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactustrack_fleet::batching::NoticeBatching;
use cactustrack_fleet::message::{Body, Bundle, Notice, Report, short_instance_id};
use cactustrack_fleet::peers::NoticeError;

use super::messenger::PeerMessenger;

/// Time for which a hub batches notices before it forwards them. Notices of other failure domains
/// are batched by two hubs.
const BUNDLE_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of notices in a bundle.
const MAX_BUNDLED_NOTICES: usize = 45;

/// Reports that a hub batches.
pub(super) struct HubBatch {
    batching: Cell<NoticeBatching>,
    /// Reports from the own failure domain.
    own_reports: RefCell<Vec<Report>>,
    /// Reports from other failure domains.
    forwarded: RefCell<Vec<Report>>,
    is_scheduled: Cell<bool>,
}

impl HubBatch {
    pub(super) fn new() -> Self {
        Self {
            batching: Cell::new(NoticeBatching::new(BUNDLE_DELAY)),
            own_reports: RefCell::default(),
            forwarded: RefCell::default(),
            is_scheduled: Cell::new(false),
        }
    }
}

impl PeerMessenger {
    /// Adds a report to the bundle and schedules sending it after [`BUNDLE_DELAY`], or sends it at
    /// once if the report is urgent.
    pub(super) fn add_to_bundle(self: &Rc<Self>, report: Report) {
        let delay = next_delay(&self.hub.batching, &report.notices);
        self.hub.own_reports.borrow_mut().push(report);
        self.schedule_bundle(delay);
    }

    /// Adds reports that a hub of another failure domain sent. Batching them with the own reports
    /// keeps the number of datagrams that an instance receives independent of the number of failure
    /// domains.
    pub(super) fn add_forwarded(self: &Rc<Self>, reports: Vec<Report>) {
        let delays = reports.iter().map(|report| next_delay(&self.hub.batching, &report.notices));
        let delay = delays.min().unwrap_or(BUNDLE_DELAY);
        self.hub.forwarded.borrow_mut().extend(reports);
        self.schedule_bundle(delay);
    }

    /// Sends the reports at once if the delay is zero, and after [`BUNDLE_DELAY`] otherwise.
    fn schedule_bundle(self: &Rc<Self>, delay: Duration) {
        if delay.is_zero() {
            self.send_bundle();
            return;
        }
        if self.hub.is_scheduled.replace(true) {
            return;
        }
        let messenger = Rc::clone(self);
        let task = async move {
            compio::time::sleep(BUNDLE_DELAY).await;
            messenger.hub.is_scheduled.set(false);
            messenger.send_bundle();
        };
        compio::runtime::spawn(task).detach();
    }

    fn send_bundle(&self) {
        let rotation = self.next_rotation();
        let targets = self.state.borrow().peers.hub_targets(Instant::now(), &self.own, rotation);
        let mut reports = self.hub.own_reports.take();
        for reports in split_reports(reports.clone()) {
            self.send_to(Body::Bundle(Bundle { forward: true, reports }), &targets.hubs);
        }
        reports.extend(self.hub.forwarded.take());
        for reports in split_reports(reports) {
            self.send_to(Body::Bundle(Bundle { forward: false, reports }), &targets.same_domain);
        }
    }

    pub(super) fn on_bundle(self: &Rc<Self>, now: Instant, bundle: Bundle) {
        let Bundle { forward, reports } = bundle;
        {
            let own = short_instance_id(&self.own.name, self.incarnation);
            let mut state = self.state.borrow_mut();
            // A hub also returns the reports of this instance to it.
            for report in reports.iter().filter(|report| report.from != own) {
                match state.peers.accept_report(report) {
                    Ok(accepted) => {
                        let unlisted = state.on_notices(now, &accepted, &report.notices);
                        self.ignored.add(NoticeError::UnlistedUpstream, unlisted);
                    }
                    Err(error) => self.ignored.add(error, report.notices.len()),
                }
            }
        }
        if forward {
            self.add_forwarded(reports);
        }
    }
}

/// Returns the time after which a batch with these notices is sent.
pub(super) fn next_delay(batching: &Cell<NoticeBatching>, notices: &[Notice]) -> Duration {
    let mut next = batching.get();
    let delay = next.delay(Instant::now(), notices);
    batching.set(next);
    delay
}

/// Splits reports into bundles that each fit in a datagram.
fn split_reports(reports: Vec<Report>) -> Vec<Vec<Report>> {
    let mut bundles = vec![Vec::new()];
    let mut notices = 0;
    for report in reports {
        if notices + report.notices.len() > MAX_BUNDLED_NOTICES && notices > 0 {
            bundles.push(Vec::new());
            notices = 0;
        }
        notices += report.notices.len();
        if let Some(bundle) = bundles.last_mut() {
            bundle.push(report);
        }
    }
    bundles.retain(|bundle| !bundle.is_empty());
    bundles
}

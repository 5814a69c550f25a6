//! Requests that are owed a final answer, and their attempts.

use crate::interface::{Backend, Time};

/// An attempt of a request.
pub(crate) struct Attempt {
    pub to: Backend,
    pub at: Time,
    /// It has not ended yet.
    pub out: bool,
    /// Its outcome proves that it did not run.
    pub never_ran: bool,
    /// It was not sent as its backend had left meanwhile: the next try takes its place, and costs no extra attempt.
    pub withheld: bool,
    /// Its answer has begun to stream: its backend has done the work.
    pub begun: bool,
}

impl Attempt {
    /// One that goes out now.
    pub fn new(to: Backend, at: Time) -> Attempt {
        Attempt {
            to,
            at,
            out: true,
            never_ran: false,
            withheld: false,
            begun: false,
        }
    }
}

/// A request that is owed an answer.
pub(crate) struct PendingRequest {
    pub class: usize,
    pub came: Time,
    pub aim: Time,
    pub deadline: Time,
    /// Its worth beside a first try within quota.
    pub value: f64,
    pub streaming: bool,
    /// Its body goes to one backend as it comes.
    pub uploading: bool,
    /// Attempts allowed when it came.
    pub most: usize,
    pub sent: Vec<Attempt>,
}

impl PendingRequest {
    /// Some attempt has not ended yet.
    pub fn out(&self) -> bool {
        self.sent.iter().any(|s| s.out)
    }
}

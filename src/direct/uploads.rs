//! The bodies of requests that are being read.

use {
    crate::{
        callers::HeldBytes,
        policy::memory::{MemoryBudget, choose_refused_upload},
    },
    std::{
        collections::BTreeMap,
        pin::pin,
        sync::{Arc, Mutex, MutexGuard},
    },
    tokio::sync::Notify,
};

/// The bodies that are being read, and which of them are refused for want of memory.
#[derive(Default)]
pub struct Uploads {
    reading: Mutex<Reading>, // a leaf lock
    left: Notify,            // wakes those that wait for a refused body to be gone
}

#[derive(Default)]
struct Reading {
    next_number: u64,
    bodies: BTreeMap<u64, HeldBody>, // by the order in which reading began
    leaving_bytes: u64,              // of bodies that were refused and are still held
}

/// Whether a body may be read on.
enum Verdict {
    Permitted,
    /// Once a body that was refused in its place is gone.
    Later,
    Refused,
}

/// What a body that is being read holds.
#[derive(Default)]
struct HeldBody {
    bytes: u64,
    is_refused: bool,
    refused: Arc<Notify>,
}

/// One body that is being read, until this is dropped.
pub struct Upload<'u> {
    uploads: &'u Uploads,
    number: u64,
    refused: Arc<Notify>,
}

impl Uploads {
    /// Adds a body of which nothing was read.
    pub fn start(&self) -> Upload<'_> {
        let mut reading = self.reading();
        let number = reading.next_number;
        reading.next_number += 1;
        let body = HeldBody::default();
        let refused = body.refused.clone();
        reading.bodies.insert(number, body);
        Upload {
            uploads: self,
            number,
            refused,
        }
    }

    fn reading(&self) -> MutexGuard<'_, Reading> {
        self.reading.lock().expect("uploads lock")
    }
}

impl Upload<'_> {
    /// Waits until the budget permits what the body holds. Returns whether it may be read on: if
    /// there is too little memory, it is refused, or a younger one in its place.
    pub async fn wait_for_room(
        &self,
        budget: MemoryBudget,
        held: &HeldBytes,
    ) -> bool {
        loop {
            let mut left = pin!(self.uploads.left.notified());
            left.as_mut().enable();
            match self.judge(budget, held) {
                Verdict::Permitted => return true,
                Verdict::Later => left.await,
                Verdict::Refused => return false,
            }
        }
    }

    fn judge(
        &self,
        budget: MemoryBudget,
        held: &HeldBytes,
    ) -> Verdict {
        let (own, others) = (held.own(), held.others());
        let mut reading = self.uploads.reading();
        let staying = others.saturating_sub(reading.leaving_bytes);
        let Some(body) = reading.bodies.get_mut(&self.number) else {
            return Verdict::Refused;
        };
        if body.is_refused || own > budget.per_connection {
            return Verdict::Refused;
        }
        body.bytes = own;
        if budget.permits(own, others) {
            return Verdict::Permitted;
        }
        if budget.permits(own, staying) {
            return Verdict::Later;
        }
        let staying = reading.bodies.iter().filter(|(_, body)| !body.is_refused);
        let staying = staying.map(|(number, body)| (*number, body.bytes));
        let chosen = choose_refused_upload(self.number, own, staying);
        if chosen == self.number {
            return Verdict::Refused;
        }
        reading.refuse(chosen);
        Verdict::Later
    }

    /// Waits until the body is refused in the place of an older one.
    pub async fn refused(&self) {
        self.refused.notified().await;
    }
}

impl Drop for Upload<'_> {
    fn drop(&mut self) {
        let mut reading = self.uploads.reading();
        if let Some(body) = reading.bodies.remove(&self.number)
            && body.is_refused
        {
            reading.leaving_bytes -= body.bytes;
            self.uploads.left.notify_waiters();
        }
    }
}

impl Reading {
    fn refuse(
        &mut self,
        number: u64,
    ) {
        if let Some(body) = self.bodies.get_mut(&number) {
            body.is_refused = true;
            body.refused.notify_one();
            self.leaving_bytes += body.bytes;
        }
    }
}

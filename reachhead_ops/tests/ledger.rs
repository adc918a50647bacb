//! Properties of the ledger of connections, for any order of events.

use quickcheck::{Arbitrary, Gen};
use reachhead_ops::connections::{BudgetLimits, Growth, Ledger, Opening, Phase};
use reachhead_property::properties;
use reachhead_types::size::{Bytes, ConnectionId, Connections, Descriptors};

/// Number of connections that fit into the budget of these tests.
const CONNECTIONS: u32 = 6;

/// Memory of the budget of these tests.
const MEMORY: u64 = 1000;

/// An event; connections are chosen by their place among the open ones.
#[derive(Debug, Clone, Copy)]
enum Step {
    Open,
    Enter(usize, Phase),
    Touch(usize),
    Grow(usize, u64),
    Charge(usize, u64),
    Release(usize),
    Close(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let place = usize::arbitrary(g) % 16;
        let phases =
            [Phase::Closing, Phase::Idle, Phase::Head, Phase::Body, Phase::Unread, Phase::Work];
        let phase = *g.choose(&phases).unwrap_or(&Phase::Idle);
        match u8::arbitrary(g) % 9 {
            0 | 1 => Self::Open,
            2 => Self::Enter(place, phase),
            3 => Self::Touch(place),
            4 | 5 => Self::Grow(place, u64::arbitrary(g) % (MEMORY + 100)),
            6 => Self::Release(place),
            7 => Self::Charge(place, u64::arbitrary(g) % MEMORY),
            _ => Self::Close(place),
        }
    }
}

/// What a naive model knows of a connection.
#[derive(Debug, Clone, Copy)]
struct Known {
    id: ConnectionId,
    phase: Phase,
    held: u64,
    /// Number of the step that changed it last.
    at: usize,
    given_up: bool,
}

/// A ledger beside a naive model of it.
struct Model {
    ledger: Ledger,
    known: Vec<Known>,
}

impl Model {
    fn new() -> Self {
        let limits = BudgetLimits::new(Connections(CONNECTIONS), Bytes(MEMORY));
        Self { ledger: Ledger::new(limits), known: Vec::new() }
    }

    fn held(&self) -> u64 {
        self.known.iter().map(|known| known.held).sum()
    }

    fn ending(&self) -> usize {
        self.known.iter().filter(|known| known.given_up).count()
    }

    /// Returns those that may be given up, the first one first.
    fn candidates(&self) -> Vec<Known> {
        let mut candidates: Vec<Known> = self
            .known
            .iter()
            .copied()
            .filter(|known| known.phase != Phase::Work && !known.given_up)
            .collect();
        candidates.sort_by_key(|known| (known.phase != Phase::Closing, known.at));
        candidates
    }

    fn give_up(&mut self, id: ConnectionId) {
        for known in &mut self.known {
            known.given_up |= known.id == id;
        }
    }

    fn open(&mut self, now: usize) -> bool {
        let (open, first) = (self.known.len(), self.candidates().first().map(|known| known.id));
        match self.ledger.open() {
            Opening::Opened(id) => {
                let phase = Phase::Idle;
                self.known.push(Known { id, phase, held: 0, at: now, given_up: false });
                open < CONNECTIONS as usize
            }
            Opening::Wait => open == CONNECTIONS as usize && self.ending() > 0,
            Opening::GiveUp(id) => {
                let is_expected =
                    open == CONNECTIONS as usize && self.ending() == 0 && first == Some(id);
                self.give_up(id);
                is_expected
            }
            Opening::Refused => {
                open == CONNECTIONS as usize && self.ending() == 0 && first.is_none()
            }
        }
    }

    fn grow(&mut self, place: usize, bytes: u64) -> bool {
        let Some(known) = self.known.get(place).copied() else { return true };
        let fits = self.held() + bytes <= MEMORY;
        match self.ledger.grow(known.id, bytes) {
            Growth::Granted => {
                self.known[place].held += bytes;
                fits && !known.given_up
            }
            Growth::Wait(victims) => {
                let expected = self.holders(known.id, victims.len());
                for &victim in &victims {
                    self.give_up(victim);
                }
                let will_fit = self.held() - self.releasing() + bytes <= MEMORY;
                !fits && victims == expected && will_fit
            }
            Growth::Refused => known.given_up || !fits,
        }
    }

    /// Returns the first `count` of those that may be given up for memory, except `id`.
    fn holders(&self, id: ConnectionId, count: usize) -> Vec<ConnectionId> {
        let holders = self.candidates().into_iter().filter(|candidate| {
            matches!(candidate.phase, Phase::Body | Phase::Unread)
                && candidate.held > 0
                && candidate.id != id
        });
        holders.map(|holder| holder.id).take(count).collect()
    }

    /// Returns the memory of those that are given up.
    fn releasing(&self) -> u64 {
        self.known.iter().filter(|known| known.given_up).map(|known| known.held).sum()
    }

    fn charge(&mut self, place: usize, bytes: u64) -> bool {
        let Some(known) = self.known.get_mut(place) else { return true };
        known.held += bytes;
        let id = known.id;
        let excess = self.held().saturating_sub(self.releasing()) > MEMORY;
        let victims = self.ledger.charge(id, bytes);
        let expected = self.holders(id, victims.len());
        for &victim in &victims {
            self.give_up(victim);
        }
        let fits = self.held() - self.releasing() <= MEMORY;
        victims == expected
            && (excess || victims.is_empty())
            && (fits || self.holders(id, 1).is_empty())
    }

    /// Takes a step, and returns whether the ledger decided as the model does.
    fn step(&mut self, now: usize, step: Step) -> bool {
        match step {
            Step::Open => return self.open(now),
            Step::Grow(place, bytes) => return self.grow(place, bytes),
            Step::Charge(place, bytes) => return self.charge(place, bytes),
            Step::Enter(place, phase) => {
                if let Some(known) = self.known.get_mut(place) {
                    self.ledger.enter(known.id, phase);
                    (known.phase, known.at) = (phase, now);
                    known.given_up &= phase != Phase::Closing;
                }
            }
            Step::Touch(place) => {
                if let Some(known) = self.known.get_mut(place) {
                    self.ledger.touch(known.id);
                    known.at = now;
                    known.given_up &= known.phase != Phase::Closing;
                }
            }
            Step::Release(place) => {
                if let Some(known) = self.known.get_mut(place) {
                    self.ledger.release(known.id);
                    known.held = 0;
                }
            }
            Step::Close(place) => {
                if place < self.known.len() {
                    self.ledger.close(self.known.remove(place).id);
                }
            }
        }
        true
    }

    /// Returns whether the sums of the ledger are those of its connections, and within the limits.
    fn is_consistent(&self) -> bool {
        self.ledger.held() == Bytes(self.held())
            && self.ledger.len() == self.known.len()
            && self.known.len() <= CONNECTIONS as usize
            && self.known.iter().all(|known| {
                self.ledger.phase(known.id) == Some(known.phase)
                    && self.ledger.is_given_up(known.id) == known.given_up
            })
    }
}

properties! {
    fn any_order_of_events_is_counted_and_decided_as_by_the_model(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        steps.iter().enumerate().all(|(now, &step)| model.step(now, step) && model.is_consistent())
    }

    fn any_order_of_requests_keeps_the_sum_within_the_limit(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        let requests = steps.iter().filter(|step| !matches!(step, Step::Charge(..)));
        requests.enumerate().all(|(now, &step)| {
            model.step(now, step) && model.is_consistent() && model.held() <= MEMORY
        })
    }

    fn nothing_is_held_once_all_connections_are_closed(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        for (now, &step) in steps.iter().enumerate() {
            model.step(now, step);
        }
        for known in &model.known {
            model.ledger.close(known.id);
        }
        let mut opened = 0;
        while let Opening::Opened(_) = model.ledger.open() {
            opened += 1;
        }
        model.ledger.held() == Bytes(0) && opened == CONNECTIONS
    }

    fn connections_at_work_are_never_given_up(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        steps.iter().enumerate().all(|(now, &step)| {
            let at_work: Vec<ConnectionId> = model
                .known
                .iter()
                .filter(|known| known.phase == Phase::Work && !known.given_up)
                .map(|known| known.id)
                .collect();
            model.step(now, step);
            at_work.iter().all(|&id| !model.ledger.is_given_up(id))
        })
    }
}

#[test]
fn limits_follow_from_the_settings() {
    let example = BudgetLimits::share_of(Bytes(260 << 20), Descriptors(4100));
    assert_eq!(example, BudgetLimits::new(Connections(1040), Bytes((260 << 20) / 8)));
    let small = BudgetLimits::share_of(Bytes(160 << 20), Descriptors(4100));
    assert_eq!(small, BudgetLimits::new(Connections(640), Bytes(20 << 20)));
    let few_descriptors = BudgetLimits::share_of(Bytes(260 << 20), Descriptors(600));
    assert_eq!(few_descriptors.connections, Connections(150));
    let operators = BudgetLimits::without_bodies(Bytes(64 << 20), Descriptors(4100));
    assert_eq!(operators, BudgetLimits::new(Connections(121), Bytes(2 << 20)));
}

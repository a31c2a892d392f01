//! The check of an organisation's rate in front of an operation.

use crate::peer::PeerMessage;
use crate::rate::{RateAnswer, RateBook, RateDecision, RateWish};
use crate::{RouteRule, clock};
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wasabiyard_model::InstanceId;

/// Longest wait for a token, as a part of the time in which a caller wants its operation done. A short wait smooths
/// bursts; a long one would only hold what has to be refused.
const PATIENT_PART: u32 = 4;
/// Longest wait for a token in any case.
const MAX_PATIENCE: Duration = Duration::from_millis(150);
/// Longest waits for the keeper's answer, one for each question. A datagram may be lost.
const ANSWER_WAITS: [Duration; 2] = [Duration::from_millis(25), Duration::from_millis(50)];

/// Sends a message to one instance.
pub type SendTo = Box<dyn Fn(&InstanceId, PeerMessage)>;

/// Lets operations through at the rate of their organisation.
pub struct AdmissionGate {
    rates: RefCell<RateBook>,
    send_to: SendTo,
    next_question: Cell<u64>,
    waiting: RefCell<HashMap<u64, Sender<RateAnswer>>>,
}

impl std::fmt::Debug for AdmissionGate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdmissionGate")
            .field("rates", &self.rates)
            .finish_non_exhaustive()
    }
}

impl AdmissionGate {
    /// A gate that asks other instances through `send_to`.
    pub fn new(rates: RateBook, send_to: SendTo) -> Self {
        Self {
            rates: RefCell::new(rates),
            send_to,
            next_question: Cell::new(0),
            waiting: RefCell::default(),
        }
    }

    /// The rates.
    pub const fn rates(&self) -> &RefCell<RateBook> {
        &self.rates
    }

    /// Waits for a token of the organisation.
    ///
    /// # Errors
    ///
    /// The time after which a token is free, when the organisation is above its rate.
    pub(super) async fn pass(&self, organisation: &Arc<str>, route: &RouteRule) -> Result<(), Duration> {
        let wish = RateWish {
            class: route.class,
            patience: (route.target / PATIENT_PART).min(MAX_PATIENCE),
        };
        match self.decide(organisation, wish).await {
            RateDecision::After(Duration::ZERO) => Ok(()),
            RateDecision::After(wait) => {
                Timer::after(wait).await;
                Ok(())
            }
            RateDecision::Refused { retry_after } => Err(retry_after),
        }
    }

    async fn decide(&self, organisation: &Arc<str>, wish: RateWish) -> RateDecision {
        for wait in ANSWER_WAITS {
            let asked = clock::now();
            let keeper = self.rates.borrow().keeper(organisation, asked);
            let Some(keeper) = keeper else {
                break;
            };
            if let Some(answer) = self.ask(&keeper, organisation, wish, wait).await {
                let mut rates = self.rates.borrow_mut();
                rates.on_answer(organisation, answer.reserve, asked);
                return answer.decision;
            }
            self.rates.borrow_mut().on_no_answer(organisation, clock::now());
        }
        self.rates.borrow_mut().decide(organisation, wish, clock::now())
    }

    async fn ask(
        &self,
        keeper: &InstanceId,
        organisation: &Arc<str>,
        wish: RateWish,
        wait: Duration,
    ) -> Option<RateAnswer> {
        let question = self.next_question.get();
        self.next_question.set(question + 1);
        let (tx, rx) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(question, tx);
        let message = PeerMessage::RateAsk {
            question,
            organisation: Arc::clone(organisation),
            wish,
        };
        (self.send_to)(keeper, message);
        let answered = async { rx.recv().await.ok() };
        let expired = async {
            Timer::after(wait).await;
            None
        };
        let answer = answered.or(expired).await;
        self.waiting.borrow_mut().remove(&question);
        answer
    }

    /// Handles a question of another instance.
    pub fn on_ask(&self, from: &InstanceId, question: u64, organisation: &str, wish: RateWish) {
        let answer = self
            .rates
            .borrow_mut()
            .on_ask(organisation, from, wish, clock::now());
        // An instance that is not the keeper stays silent; the asker will see the same register soon.
        if let Some(answer) = answer {
            (self.send_to)(from, PeerMessage::RateAnswer { question, answer });
        }
    }

    /// Handles an answer. One that comes too late finds nobody waiting, and its token is lost.
    pub fn on_answer(&self, question: u64, answer: RateAnswer) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&question) {
            let _delivered = waiting.try_send(answer);
        }
    }
}

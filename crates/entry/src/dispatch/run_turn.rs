//! A turn: a team's permit and a target's slot, held until the run surely ended.

use {
    super::{
        dispatch_desk::pump,
        pool_desk::{GrantedTurn, TargetSeat},
        target_load::TargetResult,
    },
    crate::node::{EntryNode, lock},
    dotterelshore_domain::names::{PoolName, TeamName},
    std::{sync::Arc, time::Instant},
};

/// A granted turn. Dropping it returns the permit and the slot, so it is kept until
/// the target's answer came whole or the target's own word shows that the run ended.
#[derive(Debug)]
pub(crate) struct RunTurn {
    node: Arc<EntryNode>,
    pool: PoolName,
    turn: GrantedTurn,
    began: Instant,
    stranded: bool,
}

impl RunTurn {
    /// Takes charge of a granted turn.
    pub(crate) fn new(node: &Arc<EntryNode>, pool: PoolName, turn: GrantedTurn) -> Self {
        Self {
            node: Arc::clone(node),
            pool,
            turn,
            began: Instant::now(),
            stranded: false,
        }
    }

    /// The target.
    pub(crate) fn seat(&self) -> &TargetSeat {
        &self.turn.seat
    }

    /// The team.
    pub(crate) fn team(&self) -> &TeamName {
        &self.turn.team
    }

    /// Notes what became of an exchange with the target.
    pub(crate) fn note(&self, result: TargetResult) {
        if let Some(desk) = self.node.desks.known(&self.pool) {
            lock(&desk).note_result(&self.turn.seat.name, result);
        }
    }

    /// Ends the turn here while its run goes on, on a permit that is never used again.
    pub(crate) fn strand(mut self) {
        self.stranded = true;
    }

    /// Takes the turn to another target, after the present one surely ran nothing.
    /// Says whether there was one.
    pub(crate) fn reseat(&mut self) -> bool {
        let Some(desk) = self.node.desks.known(&self.pool) else {
            return false;
        };
        let seat = lock(&desk).reseat(&self.turn.seat);
        let found = seat.is_some();
        if let Some(seat) = seat {
            self.turn.seat = seat;
        }
        found
    }
}

impl Drop for RunTurn {
    fn drop(&mut self) {
        let spent = self.began.elapsed();
        if let Some(desk) = self.node.desks.known(&self.pool) {
            lock(&desk).end_turn(&self.turn, spent);
        }
        if self.stranded {
            return;
        }
        self.node.permits.end_run(&self.turn.team);
        self.node.desks.note_used(&self.turn.team, spent);
        pump(&self.node, &self.pool);
    }
}

//! Lumps that a router has borrowed for one team.

use samphirespread_core::prelude::*;

use crate::{
    amount::Amount,
    message::{Holder, LumpId, Settlement},
};

/// A lump on the borrower's side.
#[derive(Clone, Debug)]
pub(crate) struct BorrowedLump {
    pub(crate) id: LumpId,
    pub(crate) lender: Holder,
    pub(crate) remaining: Amount,
    pub(crate) until: MonoTime,
}

/// All lumps of one team, and spent ones that the lender has not been told about.
#[derive(Debug, Default)]
pub(crate) struct Purse {
    lumps: Vec<BorrowedLump>,
}

impl Purse {
    /// What may be spent now.
    pub(crate) fn available(&self, now: MonoTime) -> Amount {
        self.lumps
            .iter()
            .filter(|lump| lump.until > now)
            .fold(Amount::ZERO, |sum, lump| sum + lump.remaining)
    }

    pub(crate) fn add(&mut self, lump: BorrowedLump) {
        self.lumps.push(lump);
    }

    pub(crate) fn len(&self) -> usize {
        self.lumps.len()
    }

    /// Takes the amount, the lump that ends first before the others, and says from where.
    ///
    /// # Panics
    ///
    /// Panics when less is available.
    pub(crate) fn take(&mut self, now: MonoTime, amount: Amount) -> Vec<Drawn> {
        self.lumps.sort_by_key(|lump| lump.until);
        let mut missing = amount;
        let mut drawn = Vec::new();
        for lump in self.lumps.iter_mut().filter(|lump| lump.until > now) {
            let taken = lump.remaining.min(missing);
            if taken == Amount::ZERO {
                continue;
            }
            lump.remaining -= taken;
            missing -= taken;
            drawn.push(Drawn { id: lump.id, lender: lump.lender.clone(), amount: taken });
        }
        assert_eq!(missing, Amount::ZERO, "a purse gives no more than it holds");
        drawn
    }

    /// Puts tokens back into a lump that is still alive.
    pub(crate) fn put_back(&mut self, now: MonoTime, id: LumpId, amount: Amount) -> bool {
        let found = self.lumps.iter_mut().find(|lump| lump.id == id && lump.until > now);
        if let Some(lump) = found {
            lump.remaining += amount;
            return true;
        }
        false
    }

    /// Removes lumps that have ended, are empty, end by `soon`, or exceed what is to be kept,
    /// and lists those to settle.
    pub(crate) fn sweep(
        &mut self,
        now: MonoTime,
        soon: MonoTime,
        keep: Amount,
    ) -> Vec<(Holder, Settlement)> {
        let mut settled = Vec::new();
        let mut available = self.available(now);
        self.lumps.retain(|lump| {
            if lump.until <= now {
                return false;
            }
            let rest = available.saturating_sub(lump.remaining);
            let ended = lump.remaining == Amount::ZERO || lump.until <= soon || rest >= keep;
            if ended {
                available = rest;
                let settlement = Settlement { id: lump.id, remaining: lump.remaining };
                settled.push((lump.lender.clone(), settlement));
            }
            !ended
        });
        settled
    }
}

/// What a request took from one lump.
#[derive(Clone, Debug)]
pub(crate) struct Drawn {
    pub(crate) id: LumpId,
    pub(crate) lender: Holder,
    pub(crate) amount: Amount,
}

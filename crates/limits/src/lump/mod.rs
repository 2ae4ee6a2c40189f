//! The lumps that a router has borrowed for one team.

use samphirespread_core::prelude::*;

use crate::{
    amount::Amount,
    message::{Holder, LumpId, Settlement},
};

/// A borrowed lump, as the borrower keeps it.
#[derive(Clone, Debug)]
pub(crate) struct BorrowedLump {
    pub(crate) id: LumpId,
    pub(crate) lender: Holder,
    pub(crate) remaining: Amount,
    pub(crate) until: MonoTime,
}

/// The lumps borrowed for one team, including spent ones that are not yet settled with the lender.
#[derive(Debug, Default)]
pub(crate) struct BorrowedLumps {
    lumps: Vec<BorrowedLump>,
}

impl BorrowedLumps {
    /// The tokens that can be spent now.
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

    /// Takes the amount from the lumps, those that expire first before the others, and returns what
    /// was taken from each.
    ///
    /// # Panics
    ///
    /// Panics if less is available.
    pub(crate) fn take(&mut self, now: MonoTime, amount: Amount) -> Vec<LumpCharge> {
        self.lumps.sort_by_key(|lump| lump.until);
        let mut missing = amount;
        let mut charges = Vec::new();
        for lump in self.lumps.iter_mut().filter(|lump| lump.until > now) {
            let taken = lump.remaining.min(missing);
            if taken == Amount::ZERO {
                continue;
            }
            lump.remaining -= taken;
            missing -= taken;
            charges.push(LumpCharge { id: lump.id, lender: lump.lender.clone(), amount: taken });
        }
        assert_eq!(missing, Amount::ZERO, "more was taken than the borrowed lumps hold");
        charges
    }

    /// Puts tokens back into a lump. Returns false if the lump is gone or has expired.
    pub(crate) fn put_back(&mut self, now: MonoTime, id: LumpId, amount: Amount) -> bool {
        let found = self.lumps.iter_mut().find(|lump| lump.id == id && lump.until > now);
        if let Some(lump) = found {
            lump.remaining += amount;
            return true;
        }
        false
    }

    /// Removes lumps that have expired, are empty, expire by `soon`, or are not needed to hold
    /// `keep` tokens. Returns settlements for those that have not expired.
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

/// The tokens that a request took from one lump.
#[derive(Clone, Debug)]
pub(crate) struct LumpCharge {
    pub(crate) id: LumpId,
    pub(crate) lender: Holder,
    pub(crate) amount: Amount,
}

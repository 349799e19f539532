//! What a holder replies when it has no token.

use super::EmptyBucket;
use super::Holder;
use super::MAX_BATCH_LIFETIME;
use super::TokenReply;
use super::TokenRequest;
use super::account::MAX_EMPTY_VALIDITY;
use crate::values::MonotonicTime;

impl Holder {
    /// The configuration with the organisation has not reached this node yet.
    pub(super) fn unknown_organisation(&self) -> TokenReply {
        TokenReply::Empty(EmptyBucket {
            zone: self.settings.zone.clone(),
            epoch: self.settings.epoch,
            valid_us: MAX_EMPTY_VALIDITY.as_micros() as u64,
            next_token_us: MAX_BATCH_LIFETIME.as_micros() as u64,
        })
    }

    pub(super) fn empty_reply(
        &mut self,
        request: &TokenRequest,
        now: MonotonicTime,
    ) -> Option<TokenReply> {
        let account = self.accounts.get_mut(&request.organisation)?;
        let empty = EmptyBucket {
            zone: self.settings.zone.clone(),
            epoch: self.settings.epoch,
            valid_us: account.empty_validity(request.purpose, now).as_micros() as u64,
            next_token_us: account.until_next_token(now).as_micros() as u64,
        };
        match &request.returns {
            Some(demand) => {
                let places = account.book_places(demand, now);
                Some(TokenReply::EmptyWithPlaces(empty, places))
            }
            None => Some(TokenReply::Empty(empty)),
        }
    }
}

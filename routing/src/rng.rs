//! Pseudo-random numbers from a seed: Marsaglia's multiply-with-carry generator with a 32-bit word.

/// A multiply-with-carry (MWC) generator. Equal seeds give equal sequences.
#[derive(Clone, Debug)]
pub struct Mwc(u64);

impl Mwc {
    const FACTOR: u64 = 4_294_957_665;
    /// Number of outputs discarded after seeding, because seeds that differ in few bits begin with similar outputs.
    const WARM_UP: usize = 4;

    /// Creates a generator; any seed is valid.
    pub fn new(seed: u64) -> Mwc {
        // The two fixed points, 0 and FACTOR * 2^32 - 1, are avoided: they would give the same output for ever.
        let state = seed % (Self::FACTOR << 32).wrapping_sub(1);
        let mut rng = Mwc(if state == 0 { Self::FACTOR } else { state });
        for _ in 0..Self::WARM_UP {
            rng.next();
        }
        rng
    }

    fn next(&mut self) -> u32 {
        self.0 = Self::FACTOR * (self.0 & 0xffff_ffff) + (self.0 >> 32);
        self.0 as u32
    }

    /// Returns a random number from 0 to `end - 1`, or 0 if `end` is 0.
    pub fn below(&mut self, end: usize) -> usize {
        ((u64::from(self.next()) * end as u64) >> 32) as usize
    }
}

//! Properties from fixed seeds: the library draws a new seed for each run, so its verdict can change.
//!
//! For tests only. A property that should look further is run with another [`SEED_VARIABLE`].

use std::{
    env,
    hash::{Hash, Hasher},
};

use quickcheck::{Gen, QuickCheck, Testable};
use siphasher::sip::SipHasher13;

/// Size of generated values, as the library's own default has it.
const SIZE: usize = 100;

/// The variable that adds a number to every seed, to look at other values than those of every day.
pub const SEED_VARIABLE: &str = "PROPERTY_SEED";

/// Runs the property `name` on `tests` values from a seed that belongs to the name.
///
/// # Panics
///
/// If the property does not hold.
pub fn check(name: &str, tests: u64, property: impl Testable) {
    let extra: u64 = env::var(SEED_VARIABLE).ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut hasher = SipHasher13::new();
    (name, extra).hash(&mut hasher);
    let values = Gen::from_size_and_seed(SIZE, hasher.finish());
    QuickCheck::new().tests(tests).rng(values).quickcheck(property);
}

/// Declares properties as tests, in the words of the library's own macro.
#[macro_export]
macro_rules! properties {
    ($(
        $(#[$meta:meta])*
        fn $name:ident($($arg:ident: $kind:ty),* $(,)?) -> $result:ty { $($code:tt)* }
    )*) => {
        $(
            #[test]
            $(#[$meta])*
            fn $name() {
                fn property($($arg: $kind),*) -> $result { $($code)* }
                $crate::check(stringify!($name), 100, property as fn($($kind),*) -> $result);
            }
        )*
    };
}

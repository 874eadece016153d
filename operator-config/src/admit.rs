//! A line on one class of clients: `admit NAME`, then pairs of a word and its value.

use admission::{Class, Rate};

type Word = (&'static str, fn(&mut Class, &str) -> Result<(), String>);

const WORDS: &[Word] = &[
    ("from", |class, value| {
        let range = |word: &str| {
            let range = word.parse().or_else(|_| word.parse::<std::net::IpAddr>().map(ipnet::IpNet::from));
            range.map_err(|why| format!("{word:?}: {why}"))
        };
        class.from = value.split(',').map(range).collect::<Result<_, _>>()?;
        Ok(())
    }),
    ("user", |class, value| {
        let user = |word: &str| {
            let fits = (1..=63).contains(&word.len()) && !word.contains(char::is_control);
            fits.then(|| word.into()).ok_or_else(|| format!("{word:?} is no name of 1 to 63 bytes"))
        };
        class.users = value.split(',').map(user).collect::<Result<_, _>>()?;
        Ok(())
    }),
    ("keep", |class, value| {
        class.keep = number(value, 0)?;
        Ok(())
    }),
    ("most", |class, value| {
        class.most = Some(number(value, 1)?);
        Ok(())
    }),
    ("each", |class, value| {
        class.each = Some(number(value, 1)?);
        Ok(())
    }),
    ("rate", |class, value| {
        let per_s = number(value, 1)? as u32;
        class.rate = Some(Rate { per_s, burst: class.rate.map_or(per_s, |rate| rate.burst) });
        Ok(())
    }),
    ("burst", |class, value| {
        let burst = number(value, 1)? as u32;
        let rate = class.rate.as_mut().ok_or("a burst stands behind its rate")?;
        rate.burst = burst;
        Ok(())
    }),
    ("weight", |class, value| {
        let weight = number(value, 1)?;
        class.weight = u32::try_from(weight).ok().filter(|weight| *weight <= 1_000).ok_or("is over 1000")?;
        Ok(())
    }),
    ("rpcs", |class, value| {
        class.rpcs = Some(number(value, 1)?);
        Ok(())
    }),
];

fn number(word: &str, least: usize) -> Result<usize, String> {
    let number = word.parse().ok().filter(|number| (least..=100_000).contains(number));
    number.ok_or_else(|| format!("{word:?} is not between {least} and 100000"))
}

/// Reads what stands behind the keyword.
pub fn class(values: &[String]) -> Result<Class, String> {
    let Some((name, pairs)) = values.split_first() else { return Err("names no class".to_string()) };
    let fits = |name: &str| {
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        (1..=32).contains(&name.len()) && name.bytes().all(plain)
    };
    if !fits(name) {
        return Err(format!("{name:?} is no name of 1 to 32 letters, digits, - and _"));
    }
    let (mut class, mut seen) = (Class::named(name), Vec::new());
    for pair in pairs.chunks(2) {
        let [word, value] = pair else { return Err(format!("{} has no value", pair[0])) };
        let Some((known, take)) = WORDS.iter().find(|known| known.0 == word) else {
            let words: Vec<&str> = WORDS.iter().map(|known| known.0).collect();
            return Err(format!("{word:?} is none of {}", words.join(", ")));
        };
        if seen.contains(known) {
            return Err(format!("{known} stands there twice"));
        }
        seen.push(known);
        take(&mut class, value).map_err(|why| format!("{known}: {why}"))?;
    }
    Ok(class)
}

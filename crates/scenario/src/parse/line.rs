//! Splits a line of a script into words and `key=value` pairs.

use winnow::ascii::space0;
use winnow::combinator::{alt, delimited, opt, preceded, repeat, terminated};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::take_while;

use super::ScriptError;

type Input<'a> = LocatingSlice<&'a str>;

/// A word, or a key or value of a `key=value` pair, with its column.
#[derive(Debug, Clone, Copy)]
pub(super) struct Word<'a> {
    pub(super) text: &'a str,
    pub(super) column: usize,
}

/// The words of one line that the parser has not consumed yet.
///
/// [`Words::finish`] rejects whatever is left. If the parser ignored unknown
/// words, a scenario with a misspelt word would pass without testing what it
/// claims to test.
#[derive(Debug)]
pub(super) struct Words<'a> {
    line: usize,
    end_column: usize,
    positional: std::collections::VecDeque<Word<'a>>,
    key_values: Vec<(Word<'a>, Word<'a>)>,
}

enum Token<'a> {
    Positional(Word<'a>),
    KeyValue(Word<'a>, Word<'a>),
}

impl<'a> Words<'a> {
    /// Splits a line; returns `None` for a blank line or a comment.
    pub(super) fn split(
        line: usize,
        text: &'a str,
    ) -> Result<Option<Self>, ScriptError> {
        let tokens = tokens.parse(LocatingSlice::new(text)).map_err(|error| {
            ScriptError::new(line, error.offset() + 1, "this is not a word")
        })?;
        if tokens.is_empty() {
            return Ok(None);
        }
        let mut words = Self {
            line,
            end_column: text.len() + 1,
            positional: std::collections::VecDeque::new(),
            key_values: Vec::new(),
        };
        for token in tokens {
            match token {
                Token::Positional(word) => words.positional.push_back(word),
                Token::KeyValue(key, value) => words.key_values.push((key, value)),
            }
        }
        Ok(Some(words))
    }

    /// Creates an error at the position of a word.
    pub(super) fn error(&self, word: Word<'_>, message: &str) -> ScriptError {
        let text = format!("{message}: `{}`", word.text);
        ScriptError::new(self.line, word.column, &text)
    }

    /// Consumes the next positional word.
    ///
    /// `what` describes the expected word in the error if there is none.
    pub(super) fn next_word(&mut self, what: &str) -> Result<Word<'a>, ScriptError> {
        self.positional.pop_front().ok_or_else(|| {
            let text = format!("{what} is missing");
            ScriptError::new(self.line, self.end_column, &text)
        })
    }

    /// Consumes the next positional word if it equals `text`.
    pub(super) fn take_if(&mut self, text: &str) -> bool {
        let found = self
            .positional
            .front()
            .is_some_and(|word| word.text == text);
        if found {
            self.positional.pop_front();
        }
        found
    }

    /// Consumes the value of an optional key.
    pub(super) fn optional_value(&mut self, key: &str) -> Option<Word<'a>> {
        let at = self
            .key_values
            .iter()
            .position(|(name, _)| name.text == key)?;
        Some(self.key_values.remove(at).1)
    }

    /// Consumes the value of a mandatory key.
    pub(super) fn required_value(
        &mut self,
        key: &str,
    ) -> Result<Word<'a>, ScriptError> {
        self.optional_value(key).ok_or_else(|| {
            let text = format!("`{key}=` is missing");
            ScriptError::new(self.line, self.end_column, &text)
        })
    }

    /// Rejects the first word that was not consumed.
    pub(super) fn finish(&self) -> Result<(), ScriptError> {
        if let Some(word) = self.positional.front() {
            return Err(self.error(*word, "unknown word"));
        }
        match self.key_values.first() {
            Some((key, _)) => Err(self.error(*key, "unknown key")),
            None => Ok(()),
        }
    }
}

fn tokens<'a>(input: &mut Input<'a>) -> ModalResult<Vec<Token<'a>>> {
    let words = repeat(0.., preceded(space0, token));
    terminated(words, (space0, opt(comment))).parse_next(input)
}

fn comment<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    preceded('#', take_while(0.., |_| true)).parse_next(input)
}

fn token<'a>(input: &mut Input<'a>) -> ModalResult<Token<'a>> {
    alt((key_value, bare_word.map(Token::Positional))).parse_next(input)
}

fn key_value<'a>(input: &mut Input<'a>) -> ModalResult<Token<'a>> {
    let (key, _, value) =
        (bare_word, '=', alt((quoted_word, bare_word))).parse_next(input)?;
    Ok(Token::KeyValue(key, value))
}

fn bare_word<'a>(input: &mut Input<'a>) -> ModalResult<Word<'a>> {
    let (text, span) = take_while(1.., is_word_character)
        .with_span()
        .parse_next(input)?;
    Ok(Word {
        text,
        column: span.start + 1,
    })
}

fn quoted_word<'a>(input: &mut Input<'a>) -> ModalResult<Word<'a>> {
    let (text, span) = delimited('\'', take_while(0.., |c| c != '\''), '\'')
        .with_span()
        .parse_next(input)?;
    Ok(Word {
        text,
        column: span.start + 1,
    })
}

fn is_word_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || "-_./,:@".contains(character)
}

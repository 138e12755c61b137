#ifndef QUETZALYOKE_CORE_NAME_H
#define QUETZALYOKE_CORE_NAME_H

#include <string>

namespace quetzalyoke {

/// Returns whether \a text is a valid name of a model, account, server, instance and so on. A name
/// has at most 100 letters, digits, dots, underscores and hyphens and starts with a letter or
/// digit.
bool isValidName(const std::string &text);

/// Returns the rules for names, as the remedy in an error message.
std::string nameFormatHint();

} // namespace quetzalyoke

#endif

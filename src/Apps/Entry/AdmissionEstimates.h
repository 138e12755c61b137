#ifndef QUETZALYOKE_APPS_ENTRY_ADMISSIONESTIMATES_H
#define QUETZALYOKE_APPS_ENTRY_ADMISSIONESTIMATES_H

#include "Apps/Entry/EntryState.h"

namespace quetzalyoke {

/// Adds to \a input, whose server choice and times are set, what this gateway knows of the room and
/// of other requests. \a isWaiting says whether the request is in the wait queue.
void addAdmissionEstimates(EntryState &state, const RequestUrgency &urgency,
                           const ServerChoiceInput &request, bool isWaiting, AdmissionInput &input,
                           Instant now);

} // namespace quetzalyoke

#endif

"""The operators' questionnaire and the configuration generated from it."""

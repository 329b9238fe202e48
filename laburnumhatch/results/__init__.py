"""Result codes and refusals."""

from .codes import ResultCode, RunStatus
from .refusal import PROBLEM_CONTENT_TYPE, Refusal, problem_document

__all__ = ["PROBLEM_CONTENT_TYPE", "Refusal", "ResultCode", "RunStatus", "problem_document"]

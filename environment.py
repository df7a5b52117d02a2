"""Hooks of behave: one seeded profile of hypothesis for every run."""

from hypothesis import settings

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
)


def before_all(context):
    """Use the profile that gives the same verdict in every run.

    :param context: behave's context, unused here.
    """
    settings.load_profile('ci')

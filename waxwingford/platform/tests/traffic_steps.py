"""Steps for the names of calls to the platform."""

from behave import then

from waxwingford.platform._traffic import name_call


@then('a call to "{path}" is named "{name}"')
def check_name(context, path, name):
    assert name_call(path, {}) == name


@then('a call on topic "{topic}" to "{path}" is named "{name}"')
def check_name_with_topic(context, topic, path, name):
    assert name_call(path, {'topic': topic}) == name

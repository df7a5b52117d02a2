"""Steps for the kernel features."""

from behave import given, then, when

from waxwingford.kernel import Mailbox, Registry, UnknownPlugin


@given('a registry of "{kind}" with plug-ins "{names}"')
def registry_with_plugins(context, kind, names):
    context.registry = Registry(kind)
    for name in names.split(', '):
        context.registry.register(name)(name)


@when('the plug-in "{name}" is looked up')
def look_plugin_up(context, name):
    context.error = ''
    try:
        context.registry.get(name)
    except UnknownPlugin as error:
        context.error = str(error)


@then('the error says "{text}"')
def error_says(context, text):
    assert text in context.error, context.error


@given('a mailbox for {capacity:d} messages')
def mailbox_for(context, capacity):
    context.mailbox = Mailbox(capacity)


@when('{count:d} messages are posted')
def post_messages(context, count):
    context.outcomes = [context.mailbox.post(index) for index in range(count)]


@then('the outcomes are "{names}"')
def outcomes_are(context, names):
    found = [type(outcome).__name__ for outcome in context.outcomes]
    assert found == names.split(', '), found


@then('the mailbox holds {count:d} messages in order')
def mailbox_holds(context, count):
    assert context.mailbox.take_all() == list(range(count))

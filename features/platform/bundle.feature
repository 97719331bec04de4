Feature: The platform program is one file

  Scenario: The bundled program starts without any installed package
    Given the bundled platform program in a folder of its own
    When it is started without settings
    Then it exits with code 2 and reports only the missing settings file

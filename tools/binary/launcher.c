/*
 * Start the Python interpreter that is linked into this program, with the
 * zip archive appended to this file as its only import path.
 *
 * No environment variable, site folder or installed Python is read.
 */
#include <Python.h>

#include <limits.h>
#include <unistd.h>

static void stop_on_error(PyStatus status)
{
    if (PyStatus_Exception(status)) {
        Py_ExitStatusException(status);
    }
}

static wchar_t *own_path(void)
{
    static char path[PATH_MAX];
    ssize_t length = readlink("/proc/self/exe", path, sizeof(path) - 1);

    if (length < 0) {
        perror("/proc/self/exe");
        exit(EXIT_FAILURE);
    }
    path[length] = '\0';
    return Py_DecodeLocale(path, NULL);
}

int main(int argc, char **argv)
{
    PyPreConfig preconfig;
    PyConfig config;
    wchar_t *path;

    PyPreConfig_InitIsolatedConfig(&preconfig);
    preconfig.utf8_mode = 1;
    stop_on_error(Py_PreInitialize(&preconfig));
    path = own_path();

    PyConfig_InitIsolatedConfig(&config);
    config.parse_argv = 0;
    config.site_import = 0;
    config.write_bytecode = 0;
    config.use_frozen_modules = 1;
    config.install_signal_handlers = 1;
    /* Set by hand, or the interpreter would look for them on the file
     * system. */
    config.module_search_paths_set = 1;
    stop_on_error(PyWideStringList_Append(&config.module_search_paths, path));
    stop_on_error(PyConfig_SetString(&config, &config.executable, path));
    stop_on_error(PyConfig_SetString(&config, &config.prefix, L""));
    stop_on_error(PyConfig_SetString(&config, &config.exec_prefix, L""));
    stop_on_error(PyConfig_SetString(&config, &config.base_prefix, L""));
    stop_on_error(PyConfig_SetString(&config, &config.base_exec_prefix, L""));
    /* Not run_module: runpy imports modules that only _start makes
     * loadable. */
    stop_on_error(PyConfig_SetString(
        &config, &config.run_command,
        L"import sys, _start; sys.exit(_start.main())"));
    stop_on_error(PyConfig_SetBytesArgv(&config, argc, argv));
    stop_on_error(Py_InitializeFromConfig(&config));
    PyConfig_Clear(&config);
    return Py_RunMain();
}
